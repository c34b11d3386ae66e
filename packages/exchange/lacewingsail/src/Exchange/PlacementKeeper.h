#pragma once

#include <lacewingsail/Discovery.h>
#include <lacewingsail/Policy.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace lacewingsail {

/// \brief What a keeper answers to a demand.
struct PlacementReply {
    /// Nothing if no server has room.
    std::optional<BackendServerId> server;
    std::uint64_t number = 0;
    /// Part of the request's benefit that is expected to be lost on the server.
    double loss = 0;
    /// When there may be room again.
    std::chrono::milliseconds roomAfter { 0 };
    /// The request needs a further attempt, and the service has none left.
    bool allowanceUsed = false;
    /// The request has time to wait for a free slot, and is to ask again after \ref roomAfter.
    bool waits = false;
};

/// \brief Places the requests of the cells that the fleet has given to this host.
///
/// Knows of each server what it has placed there and not been told to have ended, and the order of the outcomes. What
/// other hosts place without asking shows in the load that servers report.
class PlacementKeeper {
public:
    /// \param firstNumber should differ from run to run, so that outcomes of an earlier run are not taken for later ones.
    PlacementKeeper(const ServerRegistry&, const GatewayBounds&, const Clock&, std::uint64_t firstNumber);

    /// \brief Takes over the servers of the registry. Those of the same incarnation keep what is known of them.
    void update();

    /// \returns nothing if no server of the cell is known here.
    std::optional<PlacementReply> place(const PlacementCell&, const PlacementDemand&);

    /// \brief Takes in how requests ended.
    void settle(std::span<const PlacementOutcome>);

private:
    std::vector<TrackedServer*> serversOf(const PlacementCell&);
    void earnFurtherAttempts(const RegisteredServer&);
    RetryBudgetParameters retryTerms(const ServiceId&, std::size_t cellServers) const;
    std::chrono::milliseconds roomAfter(std::span<TrackedServer* const>, const PlacementDemand&) const;

    const ServerRegistry& m_registry;
    const GatewayBounds& m_bounds;
    const Clock& m_clock;
    std::uint64_t m_nextNumber;
    std::map<BackendServerId, TrackedServer> m_servers;
    std::map<ServiceId, ProcessingTimes> m_works;
    std::map<PlacementCell, CellRetryBudget> m_allowances;
};

} // namespace lacewingsail
