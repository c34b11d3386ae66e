#pragma once

#include "ColdServerLimiter.h"

#include <lacewingsail/Discovery.h>
#include <lacewingsail/Observe.h>
#include <lacewingsail/Policy.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewingsail {

/// \brief A coordinator's answer to a placement demand.
struct PlacementDecision {
    /// Nothing if no server has free capacity.
    std::optional<BackendServerId> server;
    std::uint64_t placementId = 0;
    /// Share of the request's benefit that is expected to be lost on the server.
    double expectedLoss = 0;
    /// Time after which there may be free capacity.
    std::chrono::milliseconds retryAfter { 0 };
    /// The request is a retry, and the cell's share of the service's retry budget is exhausted.
    bool retryBudgetExhausted = false;
    /// The request has time to wait for a free slot, and should ask again after \ref retryAfter.
    bool shouldWait = false;
    /// Share of requests that the service's servers refuse although they have free slots; zero unless they refuse alike.
    double refusedShare = 0;
};

/// Called with nothing if no server of the cell is known here.
using DecisionCallback = std::function<void(const std::optional<PlacementDecision>&)>;

/// \brief A demand that waits for a free slot.
struct HeldPlacement {
    PlacementDemand demand;
    WaitingRequest request;
    MonotonicTime heldSince {};
    /// When its host is told to ask again.
    MonotonicTime heldUntil {};
    DecisionCallback callback;
};

/// \brief The demands that wait for the servers of one cell.
struct PlacementQueue {
    AdmissionQueue order;
    std::unordered_map<std::uint64_t, HeldPlacement> held;
    /// Since the last line in the log.
    long long placed = 0;
    long long refused = 0;
    MonotonicTime loggedAt {};
};

/// \brief Places the requests of the cells for which this host is the coordinator.
///
/// Tracks for each server the requests placed on it whose outcome has not been reported, and estimates from the outcomes, in
/// the order in which they are reported, whether the server fails.
/// Requests that other hosts place without asking show in the load that servers report.
/// While servers are full, demands that will be reached in time wait here in order of rank; the others are refused at once. A
/// demand is held for a short time only, then its host asks again with its age, which keeps its place: a coordinator that is lost
/// takes no state with it.
class PlacementCoordinator {
public:
    /// \param firstPlacementId should differ from run to run, so that outcomes of an earlier run do not match placements of this
    /// one.
    PlacementCoordinator(const ServerRegistry&, const GatewayBounds&, EventLoop&, const Clock&, std::uint64_t firstPlacementId);

    /// \brief Counts waits and refusals there from now on.
    void setMetrics(Metrics& metrics) { m_metrics = &metrics; }

    /// \brief Sets what bounds the requests to cold servers; without it they are only chosen less often.
    void setColdServerLimiter(ColdServerLimiter& limiter) { m_coldServers = &limiter; }

    /// \brief Updates the tracked servers from the registry. Servers of the same incarnation keep their state.
    void update();

    /// \brief Chooses a server for a request. The callback is called once: within the call, or when a slot becomes free, or after a
    /// hold that is shorter than hosts wait for a reply. It must not call this object.
    void place(const PlacementCell&, const PlacementDemand&, DecisionCallback);

    /// \brief Answers all waiting demands, and holds none from now on, since this host is about to stop.
    void stopHolding();

    /// \brief Records how placed requests ended. An outcome that is received more than once counts once.
    void recordOutcomes(std::span<const PlacementOutcome>);

    /// \returns the number of demands that wait for a slot.
    std::size_t waitingDemands() const;

private:
    const std::vector<TrackedServer*>& serversIn(const PlacementCell&);
    void depositRetries(const RegisteredServer&);
    RetryBudgetParameters retryBudgetParameters(const ServiceId&, std::size_t cellServers) const;
    PlacementDecision tryPlace(const PlacementCell&, const PlacementDemand&, std::uint64_t placementId);
    void holdOrRefuse(const PlacementCell&, PlacementQueue&, const PlacementDemand&, const WaitingRequest&, bool deferred, DecisionCallback);
    void serveWaiting(const PlacementCell&, PlacementQueue&);
    bool serveOneOf(const PlacementCell&, PlacementQueue&, std::span<const WaitingRequest>);
    void refuseUnreachable(const PlacementCell&, PlacementQueue&);
    void returnExpired(PlacementQueue&);
    void answer(PlacementQueue&, std::uint64_t placementId, const std::optional<PlacementDecision>&);
    void answerAll(PlacementQueue&, const std::optional<PlacementDecision>&);
    void scheduleTick();
    void tick();
    void count(const char* result, Priority);
    void logQueue(const PlacementCell&, PlacementQueue&);
    bool canDefer(const ServiceId&, const PlacementDemand&, double loadPerSlot);
    std::uint32_t currentCellCount(const ServiceId&, const ZoneId&) const;
    PlacementCell cellOf(const RegisteredServer&) const;
    void recordOutcome(TrackedServer&, const PlacementOutcome&);
    void recordRefusals(TrackedServer&, const PlacementOutcome&);
    double alikeRefusedShare(const ServiceId&) const;
    void cancelPlacement(std::uint64_t placementId);
    void logRejection(const PlacementCell&, std::span<TrackedServer* const>, const PlacementDemand&);

    const ServerRegistry& m_registry;
    const GatewayBounds& m_bounds;
    EventLoop& m_loop;
    const Clock& m_clock;
    ColdServerLimiter* m_coldServers = nullptr;
    std::uint64_t m_nextPlacementId;
    std::map<BackendServerId, TrackedServer> m_servers;
    /// The cells that were asked for since the last update.
    std::map<PlacementCell, std::vector<TrackedServer*>> m_cells;
    /// Servers that are neither draining nor in an evacuated zone.
    std::map<ServiceId, std::size_t> m_serviceSizes;
    std::map<std::pair<ServiceId, ZoneId>, std::size_t> m_zoneSizes;
    RecentPlacements m_endedPlacements;
    std::map<PlacementCell, MonotonicTime> m_rejectionLoggedAt;
    std::map<ServiceId, ProcessingTimes> m_processingTimes;
    std::map<ServiceId, ServiceRefusals> m_refusals;
    std::map<PlacementCell, CellRetryBudget> m_retryBudgets;
    std::map<PlacementCell, PlacementQueue> m_queues;
    Metrics* m_metrics = nullptr;
    bool m_tickScheduled = false;
    bool m_holds = true;
};

} // namespace lacewingsail
