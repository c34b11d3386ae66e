#pragma once

#include <lacewingsail/World.h>

#include <cstddef>
#include <optional>
#include <span>

namespace lacewingsail {

/// \brief What is known of a backend server when a request needs one.
struct PlacementCandidate {
    SlotCount slots { 1 };
    /// Requests that all hosts are believed to have with it.
    double load = 0;
    /// Share of its requests that failed lately, at all hosts.
    double failureRate = 0;
    /// Requests that this share rests on.
    double sampleCount = 0;
    /// Its usual time to answer over that of the service; 1 if nothing is known.
    double latencyRatio = 1;
    bool sameZone = false;
    bool warmingUp = false;
    /// It failed a request of any host a moment ago.
    bool suspected = false;
    /// This host failed to reach it a moment ago.
    bool unreachable = false;
    /// It said a moment ago that it is full.
    bool overloaded = false;
    bool alreadyTried = false;
};

/// \brief What a request asks of its backend server.
struct PlacementConstraints {
    /// Requests for each slot, queued ones included, beyond which a server gets no more.
    double maxLoadPerSlot = 2;
    /// Share of the servers that failures may not take out of use.
    double floorShare = 0.7;
    /// Whether the request may run again after a failure, so that it can try a server that failed.
    bool canRetry = false;
    /// Whether suspect servers may get it like others, since no other server has room.
    bool allowSuspected = false;
};

/// \brief Chooses a backend server at random, in proportion to its free capacity.
///
/// Answers hosts whose sight is half a second old: a choice of the least loaded would send all of them to the same
/// server. Near servers come first until they are fuller than far ones; servers that fail or are slow count for less,
/// and those that fail most of their requests only get requests that may be repeated, up to the floor.
/// Linear in the number of servers; allocates nothing.
/// \param random uniformly distributed in [0, 1).
/// \returns the position in \p servers, or nothing if none has room.
std::optional<std::size_t> chooseWeighted(std::span<const PlacementCandidate> servers, const PlacementConstraints&, double random);

} // namespace lacewingsail
