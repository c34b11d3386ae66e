#pragma once

#include <lacewingsail/Discovery.h>
#include <lacewingsail/Policy.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace lacewingsail {

/// \brief What a coordinator answers to a demand.
struct PlacementDecision {
    /// Nothing if no server has room.
    std::optional<BackendServerId> server;
    std::uint64_t placementId = 0;
    /// Part of the request's benefit that is expected to be lost on the server.
    double expectedLoss = 0;
    /// When there may be room again.
    std::chrono::milliseconds retryAfter { 0 };
    /// The request needs a further attempt, and the service has none left.
    bool retryBudgetExhausted = false;
    /// The request has time to wait for a free slot, and is to ask again after \ref retryAfter.
    bool shouldWait = false;
};

/// \brief Places the requests of the cells that the fleet has given to this host.
///
/// Knows of each server what it has placed there and not been told to have ended, and the order of the outcomes. What
/// other hosts place without asking shows in the load that servers report.
class PlacementCoordinator {
public:
    /// \param firstPlacementId should differ from run to run, so that outcomes of an earlier run are not taken for later ones.
    PlacementCoordinator(const ServerRegistry&, const GatewayBounds&, const Clock&, std::uint64_t firstPlacementId);

    /// \brief Takes over the servers of the registry. Those of the same incarnation keep what is known of them.
    void update();

    /// \returns nothing if no server of the cell is known here.
    std::optional<PlacementDecision> place(const PlacementCell&, const PlacementDemand&);

    /// \brief Takes in how requests ended.
    void recordOutcomes(std::span<const PlacementOutcome>);

private:
    std::vector<TrackedServer*> serversIn(const PlacementCell&);
    void depositRetries(const RegisteredServer&);
    RetryBudgetParameters retryBudgetParameters(const ServiceId&, std::size_t cellServers) const;
    std::chrono::milliseconds retryAfter(std::span<TrackedServer* const>, const PlacementDemand&) const;

    const ServerRegistry& m_registry;
    const GatewayBounds& m_bounds;
    const Clock& m_clock;
    std::uint64_t m_nextPlacementId;
    std::map<BackendServerId, TrackedServer> m_servers;
    std::map<ServiceId, ProcessingTimes> m_processingTimes;
    std::map<PlacementCell, CellRetryBudget> m_retryBudgets;
};

} // namespace lacewingsail
