#pragma once

#include <lacewingsail/Policy.h>

#include <map>
#include <vector>

namespace lacewingsail {

using ServerStatsMap = std::map<BackendServerId, ServerStats>;

/// \brief Statistics of the backend servers, summed over the hosts of one availability zone.
struct ZoneStats {
    ZoneId zone;
    /// Number of hosts in the totals.
    std::size_t hosts = 0;
    MonotonicTime asOf {};
    ServerStatsMap servers;
};

/// \brief Sums the statistics that hosts report, each host counted once.
///
/// Relays collect the reports of the hosts of their zone and pass the totals on; every host keeps the totals of all zones.
class StatsAggregator {
public:
    explicit StatsAggregator(HostId self, ZoneId zone)
        : m_self(std::move(self))
        , m_zone(std::move(zone))
    {
    }

    /// \brief Sets this host's own statistics.
    void setLocal(ServerStatsMap, MonotonicTime now);

    /// \brief Sets the statistics that a host of the same zone has reported.
    void setHost(const HostId&, ServerStatsMap, MonotonicTime now);

    /// \brief Sets the totals of a zone. Ignored if older than the known ones, or of fewer hosts while the known ones are fresh.
    void setZoneTotals(ZoneStats, MonotonicTime now);

    /// \returns the totals of all zones, for the own zone as collected here or as received, whichever have more hosts.
    /// Allocates.
    std::vector<ZoneStats> zoneTotals(MonotonicTime now) const;

    /// \returns the totals over all other hosts. Allocates.
    ServerStatsMap remoteTotals(MonotonicTime now) const;

private:
    struct Report {
        MonotonicTime reportedAt {};
        ServerStatsMap servers;
    };

    ZoneStats ownZoneTotals(MonotonicTime now) const;

    HostId m_self;
    ZoneId m_zone;
    std::map<HostId, Report> m_reports;
    std::map<ZoneId, ZoneStats> m_zoneTotals;
};

} // namespace lacewingsail
