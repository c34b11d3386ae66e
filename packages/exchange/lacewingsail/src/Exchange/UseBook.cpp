#include <lacewingsail/Exchange.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // Three exchanges without a report: the host is stopped or cut off, and its requests are not under way any more.
    constexpr std::chrono::milliseconds reportLife { 1600 };
    // Sums go through two relays.
    constexpr std::chrono::milliseconds sumsLife { 2500 };

    void add(UseOfServers& sums, const UseOfServers& more)
    {
        for (const auto& [id, use] : more)
            sums[id] = sums[id] + use;
    }

} // namespace internal

void UseBook::reportOwn(UseOfServers servers, MonotonicTime now) { m_reports[m_self] = { now, std::move(servers) }; }

void UseBook::reportOf(const HostId& host, UseOfServers servers, MonotonicTime now)
{
    m_reports[host] = { now, std::move(servers) };
    std::erase_if(m_reports, [&](const auto& report) { return now - report.second.at >= internal::reportLife; });
}

void UseBook::sumsOf(ZoneUse sums, MonotonicTime now)
{
    const auto found = m_sums.find(sums.zone);
    if (found != m_sums.end()) {
        const ZoneUse& known = found->second;
        const bool fresh = now - known.asOf < internal::reportLife;
        if (sums.asOf <= known.asOf || (fresh && sums.hosts < known.hosts))
            return;
    }
    const ZoneId zone = sums.zone;
    m_sums[zone] = std::move(sums);
}

ZoneUse UseBook::collected(MonotonicTime now) const
{
    ZoneUse sums { m_zone, 0, now, {} };
    for (const auto& [host, report] : m_reports) {
        if (now - report.at >= internal::reportLife)
            continue;
        ++sums.hosts;
        internal::add(sums.servers, report.servers);
    }
    return sums;
}

std::vector<ZoneUse> UseBook::zones(MonotonicTime now) const
{
    std::vector<ZoneUse> zones { collected(now) };
    for (const auto& [zone, sums] : m_sums) {
        if (now - sums.asOf >= internal::sumsLife)
            continue;
        if (zone != m_zone)
            zones.push_back(sums);
        else if (sums.hosts > zones.front().hosts)
            zones.front() = sums;
    }
    return zones;
}

UseOfServers UseBook::others(MonotonicTime now) const
{
    UseOfServers all;
    for (const ZoneUse& zone : zones(now))
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
