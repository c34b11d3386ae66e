#pragma once

#include <lacewingsail/World.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace lacewingsail {

/// \brief What is known of one backend server when a request needs one.
struct Candidate {
    /// Requests that this host has with the server now.
    int inFlight = 0;
    SlotCount slots;
    /// Requests that the server last said it has, those of other hosts included.
    int reportedLoad = 0;
    /// It shed a request a moment ago.
    bool overloaded = false;
    /// Smoothed time to answer.
    std::chrono::microseconds latency { 0 };
    bool sameZone = false;
    /// Share of its usual work that it gets: less than the whole while it warms up.
    Percent warmupShare { 100 };
    /// False if ejected, leaving or unreachable.
    bool serving = true;
    /// The request was tried there already.
    bool tried = false;
};

/// \brief Chooses a backend server: of two drawn at random the less loaded, in the own availability zone
/// while that has room. Linear in the number of candidates; allocates nothing.
/// \param random any uniformly distributed number.
/// \returns the position in \p candidates, or nothing if none may get the request.
std::optional<std::size_t> chooseBackendServer(std::span<const Candidate> candidates, std::uint64_t random);

/// \brief Chooses each server in turn, whatever its load; a baseline for experiments.
/// \param turn a number that grows by one with each choice.
std::optional<std::size_t> chooseRoundRobin(std::span<const Candidate> candidates, std::uint64_t turn);

} // namespace lacewingsail
