#pragma once

#include "GrayFailureEstimate.h"

#include <lacewingsail/World.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lacewingsail {

/// \brief A request that its keeper has placed and that has not ended, as far as the keeper knows.
struct InFlightPlacement {
    std::uint64_t id = 0;
    MonotonicTime placedAt {};
    /// When it has ended in any case.
    MonotonicTime expiresAt {};
    /// How long it was expected to take on a server of the usual speed.
    std::chrono::duration<double> expectedDuration { 0 };
    /// Latency objective of its route: tells kinds of work apart.
    std::chrono::milliseconds latencyObjective { 0 };
    /// Whether it had been sent to another server before.
    bool isRetry = false;
};

/// \brief A backend server as the host that places the requests for it knows it.
struct TrackedServer {
    RegisteredServer registration;
    MonotonicTime warmupEndsAt {};
    std::vector<InFlightPlacement> inFlightPlacements;
    /// Requests that the server reports beyond \ref inFlightPlacements, smoothed; below zero if placed requests have ended untold.
    double untrackedLoad = 0;
    MonotonicTime untrackedLoadUpdatedAt {};
    GrayFailureEstimate failureEstimate;
    /// Its time to answer over the usual one, smoothed.
    double latencyRatio = 1;
    MonotonicTime latencyRatioUpdatedAt {};
    /// It refused a request as full a moment ago.
    MonotonicTime overloadedUntil {};
    /// When a request was last placed on it.
    MonotonicTime lastPlacedAt {};
    bool hasAnswered = false;
};

/// \brief Usual times of a service's requests without waiting, by latency objective.
using ProcessingTimes = std::map<std::chrono::milliseconds, std::chrono::duration<double>>;

/// \brief What a request asks of the host that places it.
struct PlacementDemand {
    ServiceId service;
    /// Servers that it may not be sent to: tried already, or not reached from its host.
    std::vector<BackendServerId> excludedServers;
    std::chrono::milliseconds latencyObjective { 0 };
    /// Time until its caller gives up.
    std::chrono::milliseconds timeToDeadline { 0 };
    /// Time since its arrival.
    std::chrono::milliseconds age { 0 };
    /// Requests for each slot, queued ones included, beyond which a server gets no more.
    double maxLoadPerSlot = 2;
    /// Whether another attempt can follow a failure, so that it can try a server that may fail.
    bool canRetry = false;
    /// Whether it has been sent to another server before, so that it needs a further attempt of the service's allowance.
    bool isRetry = false;
};

/// \brief How a placed request ended.
enum class PlacementStatus : unsigned char {
    Succeeded,
    Failed,
    /// The server said that it has no room.
    Refused,
    /// The way from the host to the server failed.
    Unreachable,
    /// It says nothing of the server: the caller left, or it was never sent.
    Cancelled,
};

/// \brief Outcome of a placed request.
struct PlacementOutcome {
    BackendServerId server;
    std::uint64_t placementId = 0;
    PlacementStatus status = PlacementStatus::Cancelled;
    std::chrono::milliseconds duration { 0 };
    /// Requests that the server said to have, this one no longer included; nothing if it said nothing.
    std::optional<double> reportedLoad;
};

/// \brief The server that suits a request best.
struct PlacementChoice {
    /// Position among the servers.
    std::size_t serverIndex = 0;
    /// Part of the request's benefit that is expected to be lost there.
    double expectedLoss = 0;
    /// Requests for each slot that it would have with this one.
    double loadPerSlot = 0;
};

/// \returns the requests that the server is believed to have.
double estimatedLoad(const TrackedServer&, MonotonicTime now);

/// \brief Chooses the server on which the request is worth most: the chance of a failure and the expected time to answer,
/// against its objective, decide.
///
/// Answers load of a third to all of the slots, placed by many hosts each of which sees one request in a hundred: the one
/// host that places all requests for these servers knows how many each has at the moment, and the order of their outcomes.
/// Servers that may be in a spell of failures get only requests that may be repeated, about one a second, until they serve
/// them, unless most of the servers seem to fail. Every server gets a request a second if there are enough:
/// one that nothing is known of cannot be told from one that fails.
/// Linear in the number of servers and of their open requests; allocates nothing.
/// \param random uniformly distributed in [0, 1); breaks ties.
/// \returns nothing if no server has room or could answer in time.
std::optional<PlacementChoice> chooseServer(std::span<TrackedServer* const> servers, const PlacementDemand&, const ProcessingTimes&, MonotonicTime now, double random);

/// \returns whether a request is to wait rather than to join a server with \p fill requests for each slot.
///
/// Answers services whose long requests, with objectives of seconds, leave no slot to short ones: as long as a request has
/// much more time than its work takes, it leaves the last slots free.
bool shouldWaitForSlot(const PlacementDemand&, const ProcessingTimes&, double fill);

/// \brief Notes that the request with this number has been placed on \p server.
void addPlacement(TrackedServer& server, const PlacementDemand&, const ProcessingTimes&, std::uint64_t number, MonotonicTime now);

/// \brief Notes how a request ended that was placed on \p server. \returns the placement, or nothing if it is not known (any
/// more).
std::optional<InFlightPlacement> finishPlacement(TrackedServer& server, ProcessingTimes&, const PlacementOutcome&, MonotonicTime now);

} // namespace lacewingsail
