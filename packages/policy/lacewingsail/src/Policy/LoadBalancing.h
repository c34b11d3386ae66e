#pragma once

#include <lacewingsail/World.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace lacewingsail {

/// \brief State of a backend server as seen by the host that chooses a server for a request.
struct Candidate {
    /// Requests of this host that are in flight at the server.
    int inFlight = 0;
    SlotCount slots;
    /// Load that the server last reported, including requests of other hosts.
    int reportedLoad = 0;
    /// It recently shed a request.
    bool overloaded = false;
    /// Smoothed response time.
    std::chrono::microseconds latency { 0 };
    bool sameZone = false;
    /// Share of its normal traffic that it gets; below 100 percent during warm-up.
    Percent warmupShare { 100 };
    /// False if ejected, leaving or unreachable.
    bool serving = true;
    /// The request was already sent to this server.
    bool tried = false;
};

/// \brief Chooses the less loaded of two random backend servers (power of two choices), within the local availability
/// zone as long as a server there has capacity. Linear in the number of candidates; does not allocate.
/// \param random a uniformly distributed number.
/// \returns the index in \p candidates, or nothing if no candidate is eligible.
std::optional<std::size_t> chooseBackendServer(std::span<const Candidate> candidates, std::uint64_t random);

/// \brief Chooses servers round robin regardless of their load; a baseline for experiments.
/// \param turn incremented by one with each choice.
std::optional<std::size_t> chooseRoundRobin(std::span<const Candidate> candidates, std::uint64_t turn);

} // namespace lacewingsail
