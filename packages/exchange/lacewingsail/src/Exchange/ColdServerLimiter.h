#pragma once

#include "FleetDirectory.h"

#include <lacewingsail/Discovery.h>
#include <lacewingsail/Observe.h>
#include <lacewingsail/Policy.h>

#include <map>
#include <optional>
#include <span>

namespace lacewingsail {

/// \brief What this host may send to cold servers, by its roles in the fleet and the rates of the configuration.
class ColdServerLimiter {
public:
    ColdServerLimiter(const FleetDirectory&, const ActiveConfiguration&, const GatewayBounds&, const Clock&);

    /// \brief Sets where cold servers are counted.
    void setMetrics(Metrics& metrics) { m_metrics = &metrics; }

    /// \returns the most requests that a cold server of the service may get in one second from all hosts; nothing without a bound.
    std::optional<int> bound(const ServiceId&) const;

    /// \brief Determines which servers of a cell bear no further request of this host as their coordinator, and logs what changed.
    void update(const PlacementCell&, std::span<TrackedServer* const>);

    /// \returns what this host may place while it reaches no coordinator; unlimited without a bound.
    ColdServerPart uncoordinatedPart(const ServiceId&) const;

    /// \returns whether one more request may be placed on a cold server now.
    bool mayPlace(const BackendServerId&, const RecentlyPlaced&, const ColdServerPart&) const;

private:
    ColdServerPart coordinatorPart(const PlacementCell&);
    void count(const char* name, const ServiceId&) const;
    void logTurnedCold(const TrackedServer&, const ColdServerPart&) const;
    void logBinds(TrackedServer&, const ColdServerPart&) const;

    struct KnownAuthority {
        CellAuthority authority;
        MonotonicTime validUntil {};
    };

    const FleetDirectory& m_directory;
    const ActiveConfiguration& m_active;
    const GatewayBounds& m_bounds;
    const Clock& m_clock;
    Metrics* m_metrics = nullptr;
    std::map<PlacementCell, KnownAuthority> m_authorities;
};

} // namespace lacewingsail
