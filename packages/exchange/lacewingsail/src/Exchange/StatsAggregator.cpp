#include <lacewingsail/Exchange.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // Three exchanges without a report: the host has stopped or is cut off, and its requests are no longer in flight.
    constexpr std::chrono::milliseconds reportLifetime { 1600 };
    // Longer than that of reports, since totals pass through two relays.
    constexpr std::chrono::milliseconds zoneTotalsLifetime { 2500 };

    void add(ServerStatsMap& totals, const ServerStatsMap& added)
    {
        for (const auto& [id, stats] : added)
            totals[id] = totals[id] + stats;
    }

} // namespace internal

void StatsAggregator::setLocal(ServerStatsMap servers, MonotonicTime now) { m_reports[m_self] = { now, std::move(servers) }; }

void StatsAggregator::setHost(const HostId& host, ServerStatsMap servers, MonotonicTime now)
{
    m_reports[host] = { now, std::move(servers) };
    std::erase_if(m_reports, [&](const auto& report) { return now - report.second.reportedAt >= internal::reportLifetime; });
}

void StatsAggregator::setZoneTotals(ZoneStats totals, MonotonicTime now)
{
    const auto found = m_zoneTotals.find(totals.zone);
    if (found != m_zoneTotals.end()) {
        const ZoneStats& current = found->second;
        const bool fresh = now - current.asOf < internal::reportLifetime;
        if (totals.asOf <= current.asOf || (fresh && totals.hosts < current.hosts))
            return;
    }
    const ZoneId zone = totals.zone;
    m_zoneTotals[zone] = std::move(totals);
}

ZoneStats StatsAggregator::ownZoneTotals(MonotonicTime now) const
{
    ZoneStats totals { m_zone, 0, now, {} };
    for (const auto& [host, report] : m_reports) {
        if (now - report.reportedAt >= internal::reportLifetime)
            continue;
        ++totals.hosts;
        internal::add(totals.servers, report.servers);
    }
    return totals;
}

std::vector<ZoneStats> StatsAggregator::zoneTotals(MonotonicTime now) const
{
    std::vector<ZoneStats> zones { ownZoneTotals(now) };
    for (const auto& [zone, totals] : m_zoneTotals) {
        if (now - totals.asOf >= internal::zoneTotalsLifetime)
            continue;
        if (zone != m_zone)
            zones.push_back(totals);
        else if (totals.hosts > zones.front().hosts)
            zones.front() = totals;
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
    for (const auto& [id, stats] : own->second.servers) {
        if (const auto found = all.find(id); found != all.end())
            found->second = subtractClamped(found->second, stats);
    }
    return all;
}

} // namespace lacewingsail
