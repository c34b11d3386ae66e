#include <lacewingsail/Exchange.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // Three exchanges without a report: the host is stopped or cut off, and its requests are not under way any more.
    constexpr std::chrono::milliseconds reportLifetime { 1600 };
    // Sums go through two relays.
    constexpr std::chrono::milliseconds zoneTotalsLifetime { 2500 };

    void add(ServerStatsMap& sums, const ServerStatsMap& more)
    {
        for (const auto& [id, use] : more)
            sums[id] = sums[id] + use;
    }

} // namespace internal

void StatsAggregator::setLocal(ServerStatsMap servers, MonotonicTime now) { m_reports[m_self] = { now, std::move(servers) }; }

void StatsAggregator::setHost(const HostId& host, ServerStatsMap servers, MonotonicTime now)
{
    m_reports[host] = { now, std::move(servers) };
    std::erase_if(m_reports, [&](const auto& report) { return now - report.second.at >= internal::reportLifetime; });
}

void StatsAggregator::setZoneTotals(ZoneStats sums, MonotonicTime now)
{
    const auto found = m_zoneTotals.find(sums.zone);
    if (found != m_zoneTotals.end()) {
        const ZoneStats& known = found->second;
        const bool fresh = now - known.asOf < internal::reportLifetime;
        if (sums.asOf <= known.asOf || (fresh && sums.hosts < known.hosts))
            return;
    }
    const ZoneId zone = sums.zone;
    m_zoneTotals[zone] = std::move(sums);
}

ZoneStats StatsAggregator::ownZoneTotals(MonotonicTime now) const
{
    ZoneStats sums { m_zone, 0, now, {} };
    for (const auto& [host, report] : m_reports) {
        if (now - report.at >= internal::reportLifetime)
            continue;
        ++sums.hosts;
        internal::add(sums.servers, report.servers);
    }
    return sums;
}

std::vector<ZoneStats> StatsAggregator::zoneTotals(MonotonicTime now) const
{
    std::vector<ZoneStats> zones { ownZoneTotals(now) };
    for (const auto& [zone, sums] : m_zoneTotals) {
        if (now - sums.asOf >= internal::zoneTotalsLifetime)
            continue;
        if (zone != m_zone)
            zones.push_back(sums);
        else if (sums.hosts > zones.front().hosts)
            zones.front() = sums;
    }
    return zones;
}

ServerStatsMap StatsAggregator::remoteTotals(MonotonicTime now) const
{
    ServerStatsMap all;
    for (const ZoneStats& zone : zoneTotals(now))
        internal::add(all, zone.servers);
    const auto own = m_reports.find(m_self);
    if (own == m_reports.end())
        return all;
    for (const auto& [id, use] : own->second.servers) {
        if (const auto found = all.find(id); found != all.end())
            found->second = subtractClamped(found->second, use);
    }
    return all;
}

} // namespace lacewingsail
