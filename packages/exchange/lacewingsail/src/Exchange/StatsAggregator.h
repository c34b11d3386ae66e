#pragma once

#include <lacewingsail/Policy.h>

#include <map>
#include <vector>

namespace lacewingsail {

using ServerStatsMap = std::map<BackendServerId, ServerStats>;

/// \brief What the hosts of one availability zone have with the backend servers.
struct ZoneStats {
    ZoneId zone;
    /// Hosts that the sums are made of.
    std::size_t hosts = 0;
    MonotonicTime asOf {};
    ServerStatsMap servers;
};

/// \brief Adds up what hosts report, without counting any host twice.
///
/// Relays collect the reports of the hosts of their zone and pass the sums on; every host keeps the sums of all zones.
class StatsAggregator {
public:
    explicit StatsAggregator(HostId self, ZoneId zone)
        : m_self(std::move(self))
        , m_zone(std::move(zone))
    {
    }

    /// \brief Notes what this host itself reports from now on.
    void setLocal(ServerStatsMap, MonotonicTime now);

    /// \brief Takes in the report of a host of the same zone.
    void setHost(const HostId&, ServerStatsMap, MonotonicTime now);

    /// \brief Takes in the sums of a zone; those of fewer hosts give way to those of more while these are fresh.
    void setZoneTotals(ZoneStats, MonotonicTime now);

    /// \returns the sums of all zones, the own one as collected here or as heard, whichever has more hosts. Allocates.
    std::vector<ZoneStats> zoneTotals(MonotonicTime now) const;

    /// \returns what all other hosts have with the backend servers. Allocates.
    ServerStatsMap remoteTotals(MonotonicTime now) const;

private:
    struct Report {
        MonotonicTime at {};
        ServerStatsMap servers;
    };

    ZoneStats ownZoneTotals(MonotonicTime now) const;

    HostId m_self;
    ZoneId m_zone;
    std::map<HostId, Report> m_reports;
    std::map<ZoneId, ZoneStats> m_zoneTotals;
};

} // namespace lacewingsail
