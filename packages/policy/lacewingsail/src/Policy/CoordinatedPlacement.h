#pragma once

#include "ColdServerRate.h"
#include "GrayFailureEstimate.h"
#include "ProcessingTimes.h"
#include "ServiceRefusals.h"

#include <lacewingsail/World.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_set>
#include <vector>

namespace lacewingsail {

/// \brief A request that the coordinator has placed on a server and whose outcome it has not received yet.
struct InFlightPlacement {
    std::uint64_t id = 0;
    MonotonicTime placedAt {};
    /// When it is dropped although no outcome was received.
    MonotonicTime expiresAt {};
    /// Expected ratio of its time to answer to the processing time, from the server's load at the time of the placement.
    double congestionFactor = 1;
    WorkKind kind;
    std::chrono::milliseconds latencyObjective { 0 };
    /// Whether the request had been sent to another server before.
    bool isRetry = false;
};

/// \brief State of a backend server at the coordinator that places its requests.
struct TrackedServer {
    RegisteredServer registration;
    MonotonicTime warmupEndsAt {};
    std::vector<InFlightPlacement> inFlightPlacements;
    /// Requests that the server reports in addition to \ref inFlightPlacements, smoothed. Negative if placed requests have ended and
    /// their outcomes have not arrived.
    double untrackedLoad = 0;
    MonotonicTime untrackedLoadUpdatedAt {};
    /// As in the last outcome that had it.
    double reportedLoad = 0;
    GrayFailureEstimate failureEstimate;
    RefusalCounts refusals;
    /// Ratio of its time to answer to the usual one, smoothed.
    double latencyRatio = 1;
    MonotonicTime latencyRatioUpdatedAt {};
    /// Gets no requests until then, since it refused one as overloaded.
    MonotonicTime overloadedUntil {};
    /// When a request was last placed on it.
    MonotonicTime lastPlacedAt {};
    bool hasAnswered = false;
    /// This incarnation stated that it is about to leave; it gets no further requests.
    bool leaving = false;
    RecentlyPlaced recentlyPlaced;
    /// It is cold and bears no further request now.
    bool coldRateBinds = false;
    /// What was last logged of its coldness, and when that its rate binds.
    bool knownCold = false;
    MonotonicTime coldRateLoggedAt {};
};

/// \brief Requirements of a request that needs a server; sent to the coordinator.
struct PlacementDemand {
    /// Id of the placement, unique in the fleet; zero if the coordinator is to choose one.
    std::uint64_t placementId = 0;
    ServiceId service;
    /// Identifies the kind of work.
    RouteId route;
    /// Of the account if that has one, otherwise of the route.
    Priority priority { 1 };
    /// Empty if the request has no account.
    ClientAccountId account;
    /// Servers that it may not be sent to: already tried, or unreachable from its host.
    std::vector<BackendServerId> excludedServers;
    std::chrono::milliseconds latencyObjective { 0 };
    /// Time left until its caller gives up.
    std::chrono::milliseconds timeToDeadline { 0 };
    /// Time since its arrival at the host.
    std::chrono::milliseconds age { 0 };
    /// Maximum number of requests per slot at a server, including queued ones.
    double maxLoadPerSlot = 2;
    /// If others wait for slots in order: time from the end of a request until its outcome is known. As many requests wait at a server
    /// as keep its slots busy for that time. Zero if they wait at the servers.
    std::chrono::milliseconds outcomeDelay { 0 };
    /// Whether a failed attempt can be retried, so that the request may be sent to a suspected server.
    bool canRetry = false;
    /// Whether it has been sent to another server before, so that this attempt is charged to the retry budget.
    bool isRetry = false;
};

/// \brief How a placed request ended.
enum class PlacementStatus : unsigned char {
    Succeeded,
    Failed,
    /// The server reported that it is overloaded.
    Refused,
    /// The connection from the host to the server failed.
    Unreachable,
    /// The caller disconnected or the request was never sent; says nothing about the server.
    Cancelled,
};

/// \brief Outcome of a placed request.
struct PlacementOutcome {
    /// Empty if the coordinator's reply was not received.
    BackendServerId server;
    std::uint64_t placementId = 0;
    PlacementStatus status = PlacementStatus::Cancelled;
    std::chrono::milliseconds duration { 0 };
    /// Number of requests that the server reported, without this one; empty if it reported none.
    std::optional<double> reportedLoad;
    /// The server stated that it is about to leave.
    bool serverLeaving = false;
};

/// \brief The server chosen for a request.
struct PlacementChoice {
    /// Index in the given servers.
    std::size_t serverIndex = 0;
    /// Share of the request's value that is expected to be lost there by failure or latency.
    double expectedLoss = 0;
    /// Requests per slot at the server, including this one.
    double loadPerSlot = 0;
};

/// \brief Ids of placements that ended a short time ago.
struct RecentPlacements {
    std::unordered_set<std::uint64_t> ids;
    std::unordered_set<std::uint64_t> olderIds;
    MonotonicTime rotatedAt {};
};

/// \brief Records an id for several seconds. \returns false if it is recorded already.
bool recordOnce(RecentPlacements&, std::uint64_t placementId, MonotonicTime now);

/// \returns whether the id is recorded.
bool wasRecorded(const RecentPlacements&, std::uint64_t placementId);

/// \brief What a coordinator believes of the servers of a cell, beside what they last reported.
struct CellBelief {
    int slots = 0;
    std::size_t inFlight = 0;
    double estimatedLoad = 0;
    double reportedLoad = 0;
    std::size_t suspected = 0;
    std::size_t overloaded = 0;
    std::chrono::milliseconds processingTime { 0 };
};

CellBelief cellBelief(std::span<TrackedServer* const> servers, const PlacementDemand&, const ProcessingTimes&, MonotonicTime now);

/// \returns the estimated number of requests at the server.
double estimatedLoad(const TrackedServer&, MonotonicTime now);

/// \returns whether the server is believed to have a free slot.
bool hasFreeSlot(const TrackedServer&, MonotonicTime now);

/// \brief Chooses the server with the lowest expected loss, computed from the probability of a failure and from the expected
/// time to answer relative to the latency objective.
///
/// A third to all of the slots are busy, and each of the many hosts sees only about one request in a hundred. The coordinator
/// places all requests of these servers, so that it alone knows the current load of each and the order of its outcomes.
/// Servers with a probable gray failure get only requests that can be retried, about one per second, until they
/// succeed, unless most of the servers seem to fail. Every server gets a request per second if there are enough requests, since a
/// server without recent outcomes cannot be told from a failing or a slow one.
/// Few requests wait at a server, just as many as keep its slots busy until the outcomes of those that have ended arrive: the
/// others wait at the coordinator, in order.
/// Linear in the number of servers and of their in-flight placements; allocates nothing.
/// \param random uniformly distributed in [0, 1); breaks ties.
/// \returns nothing if no server has capacity left or could answer in time.
std::optional<PlacementChoice> chooseServer(std::span<TrackedServer* const> servers, const PlacementDemand&, const ProcessingTimes&, MonotonicTime now, double random);

/// \returns the expected processing time of the request, without queueing.
std::chrono::duration<double> expectedProcessingTime(const ProcessingTimes&, const PlacementDemand&);

/// \returns whether the request should wait for a free slot rather than be sent to a server with \p loadPerSlot requests per
/// slot.
///
/// Prevents long requests, with latency objectives of seconds, from occupying all slots of a service: a request that has much
/// more time than its processing takes leaves the last slots free for short requests.
bool shouldWaitForSlot(const PlacementDemand&, const ProcessingTimes&, double loadPerSlot);

/// \brief Adds a placement to \p server.
void addPlacement(TrackedServer& server, const PlacementDemand&, std::uint64_t placementId, MonotonicTime now);

/// \brief Removes a placement from \p server and records its outcome. \returns the placement, or nothing if it is unknown or has
/// expired; its duration is not recorded then, but its status and the reported load are.
/// \param commonRefusedShare what the service's other servers refuse although they have free slots.
std::optional<InFlightPlacement> finishPlacement(TrackedServer& server, ProcessingTimes&, const PlacementOutcome&, MonotonicTime now, double commonRefusedShare = 0);

} // namespace lacewingsail
