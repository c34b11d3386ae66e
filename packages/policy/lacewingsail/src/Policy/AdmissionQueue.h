#pragma once

#include "CoordinatedPlacement.h"

#include <lacewingsail/World.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace lacewingsail {

/// Maximum number of requests that wait for the servers of one cell.
constexpr std::size_t maxWaitingRequests = 1000;

/// \brief A request that waits for a free slot.
struct WaitingRequest {
    std::uint64_t placementId = 0;
    Priority priority { 1 };
    /// Among requests of one priority the one with the earliest instant goes first.
    MonotonicTime order {};
    MonotonicTime arrivedAt {};
    /// It is told by then at the latest that it was not reached.
    MonotonicTime startBy {};
    /// Expected processing time.
    Duration work {};
};

/// \brief The requests of one priority, and how they fared lately.
struct AdmissionRank {
    Priority priority { 1 };
    /// In order.
    std::vector<WaitingRequest> waiting;
    /// Moving sums.
    double placed = 0;
    double refused = 0;
    MonotonicTime countedAt {};
};

/// \brief The requests that wait for the servers of one cell.
///
/// Callers compete for too little room: services at 1.5 times their capacity with two or three priorities, short searches beside
/// archive reads. A higher priority goes first; among equals the one whose latency objective ends first, later by its work, so that
/// of two equally urgent requests the one that takes less room goes first. A request is held only if it is expected to be reached.
struct AdmissionQueue {
    /// By descending urgency.
    std::vector<AdmissionRank> ranks;
    /// Requests that lose nothing by waiting yet, in order; they are placed only if servers have slots to spare.
    std::vector<WaitingRequest> deferred;
    /// Placements of higher ranks that are owed to a starved one.
    double owed = 0;
};

/// \brief What a cell's servers can do.
struct CellCapacity {
    /// Slots of servers that the request may be sent to, fewer if they are slow.
    double slots = 0;
};

/// \returns the capacity of those servers that \p demand may be sent to.
CellCapacity cellCapacity(std::span<TrackedServer* const> servers, const PlacementDemand& demand, MonotonicTime now);

/// \returns how long a request may wait, and its place in the order.
WaitingRequest makeWaitingRequest(const PlacementDemand&, std::uint64_t placementId, Duration work, MonotonicTime now);

/// \returns the number of requests, deferred ones included.
std::size_t waitingCount(const AdmissionQueue&);

/// \returns whether no competing request goes before \p request.
bool isFirst(const AdmissionQueue&, const WaitingRequest& request);

/// \returns the time until \p request is expected to be reached, queued or not.
Duration expectedWait(const AdmissionQueue&, const WaitingRequest& request, CellCapacity);

/// \returns whether it is worth to wait: the request is expected to be reached in time.
bool isWorthWaiting(const AdmissionQueue&, const WaitingRequest& request, CellCapacity, MonotonicTime now);

/// \returns when it is worth to ask again after a refusal: once the requests ahead have been reached.
std::chrono::milliseconds timeToRoom(const AdmissionQueue&, const WaitingRequest& request, CellCapacity);

void addWaiting(AdmissionQueue&, const WaitingRequest&);
void addDeferred(AdmissionQueue&, const WaitingRequest&);

/// \brief Removes a request. \returns whether it was there.
bool removeWaiting(AdmissionQueue&, const WaitingRequest&);

/// \brief Removes requests that are no longer expected to be reached in time, so that they are told at once; beyond \ref
/// maxWaitingRequests also those that are reached last. \returns them.
std::vector<WaitingRequest> takeUnreachable(AdmissionQueue&, CellCapacity, MonotonicTime now);

/// \brief Lists the competing requests that may be placed next, the best one first, at most \p count.
///
/// Higher priorities go first, but a bounded share of placements goes to a rank that is served far less often than a higher one:
/// a rank whose load exceeds the servers' capacity for long would otherwise starve all below.
std::vector<WaitingRequest> nextWaiting(const AdmissionQueue&, std::size_t count);

/// \brief Records that a request was placed, or refused after it had waited or at once.
void recordPlaced(AdmissionQueue&, Priority, MonotonicTime now);
void recordRefused(AdmissionQueue&, Priority, MonotonicTime now);

} // namespace lacewingsail
