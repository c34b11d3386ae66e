#pragma once

#include <lacewingsail/World.h>

#include <cstddef>
#include <optional>
#include <span>

namespace lacewingsail {

/// \brief What a host knows of a backend server when a request needs one.
struct PlacementCandidate {
    SlotCount slots { 1 };
    /// Estimated number of requests that all hosts have at the server.
    double load = 0;
    /// Share of its recent requests that failed, over all hosts.
    double failureRate = 0;
    /// Number of requests that the failure rate is computed from; decays with time.
    double sampleCount = 0;
    /// Ratio of its usual time to answer to that of the service; 1 if nothing is known.
    double latencyRatio = 1;
    bool sameZone = false;
    bool warmingUp = false;
    /// A gray failure is probable, by the outcomes of this host's own requests.
    bool suspected = false;
    /// This host recently failed to connect to it.
    bool unreachable = false;
    /// It recently refused a request as overloaded.
    bool overloaded = false;
    /// It asked this host to send nothing for a while.
    bool refusing = false;
    bool alreadyTried = false;
    /// It is cold and bears no further request of this host now.
    bool coldRateBinds = false;
};

/// \brief Constraints on the choice of a server for a request.
struct PlacementConstraints {
    /// Maximum number of requests per slot at a server, including queued ones.
    double maxLoadPerSlot = 2;
    /// Minimum share of the servers that stays in use, whatever their failure rates.
    double floorShare = 0.7;
    /// Whether a failed attempt can be retried, so that the request may be sent to a failing or suspected server.
    bool canRetry = false;
    /// Whether suspected servers are treated like others; set if no other server has capacity left.
    bool allowSuspected = false;
};

/// \brief Chooses a backend server at random, in proportion to its free capacity.
///
/// Used when no coordinator answers. What a host knows of the load is about half a second old, so that choosing the least
/// loaded server would send the requests of all hosts to the same one. Servers of the host's own zone are preferred until
/// they are much more loaded than those of other zones. Slow servers and servers with failures have less weight; those with a
/// high failure rate get only requests that can be retried, unless fewer than floorShare of the servers would be left.
/// Linear in the number of servers; allocates nothing.
/// \param random uniformly distributed in [0, 1).
/// \returns the index in \p servers, or nothing if none has capacity left.
std::optional<std::size_t> chooseWeighted(std::span<const PlacementCandidate> servers, const PlacementConstraints&, double random);

} // namespace lacewingsail
