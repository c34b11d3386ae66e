#pragma once

#include "ColdServerLimiter.h"

#include <lacewingsail/Discovery.h>
#include <lacewingsail/Policy.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
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

/// \brief Places the requests of the cells for which this host is the coordinator.
///
/// Tracks for each server the requests placed on it whose outcome has not been reported, and estimates from the outcomes, in
/// the order in which they are reported, whether the server fails.
/// Requests that other hosts place without asking show in the load that servers report.
class PlacementCoordinator {
public:
    /// \param firstPlacementId should differ from run to run, so that outcomes of an earlier run do not match placements of this
    /// one.
    PlacementCoordinator(const ServerRegistry&, const GatewayBounds&, const Clock&, std::uint64_t firstPlacementId);

    /// \brief Sets what bounds the requests to cold servers; without it they are only chosen less often.
    void setColdServerLimiter(ColdServerLimiter& limiter) { m_coldServers = &limiter; }

    /// \brief Updates the tracked servers from the registry. Servers of the same incarnation keep their state.
    void update();

    /// \brief Chooses a server for a request. \returns nothing if no server of the cell is known here.
    std::optional<PlacementDecision> place(const PlacementCell&, const PlacementDemand&);

    /// \brief Records how placed requests ended. An outcome that is received more than once counts once.
    void recordOutcomes(std::span<const PlacementOutcome>);

private:
    const std::vector<TrackedServer*>& serversIn(const PlacementCell&);
    void depositRetries(const RegisteredServer&);
    RetryBudgetParameters retryBudgetParameters(const ServiceId&, std::size_t cellServers) const;
    std::chrono::milliseconds retryAfter(std::span<TrackedServer* const>, const PlacementDemand&) const;
    void recordOutcome(TrackedServer&, const PlacementOutcome&);
    void recordRefusals(TrackedServer&, const PlacementOutcome&);
    double alikeRefusedShare(const ServiceId&) const;
    void cancelPlacement(std::uint64_t placementId);
    void logRejection(const PlacementCell&, std::span<TrackedServer* const>, const PlacementDemand&);

    const ServerRegistry& m_registry;
    const GatewayBounds& m_bounds;
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
};

} // namespace lacewingsail
