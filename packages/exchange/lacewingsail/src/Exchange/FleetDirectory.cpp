#include <lacewingsail/Exchange.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // Time for two host lists and the exchanges that pass them on. A host that freezes for less stays coordinator and relay;
    // hosts that call it without an answer avoid it at once.
    constexpr std::chrono::milliseconds silenceTimeout { 5000 };
    // Long enough for a host to restart, short enough to call a relay again soon after a network partition.
    constexpr std::chrono::milliseconds avoidancePeriod { 1500 };
    constexpr std::chrono::seconds silentHostRetention { 60 };

} // namespace internal

void FleetDirectory::recordAlive(const LiveHost& host, MonotonicTime aliveAt, bool leaving)
{
    if (host.id == m_self.id)
        return;
    Entry& entry = m_entries[host.id];
    if (aliveAt < entry.lastAliveAt)
        return;
    entry.host = host;
    entry.lastAliveAt = aliveAt;
    entry.leaving = leaving;
}

void FleetDirectory::recordCallFailure(const HostId& id, MonotonicTime now)
{
    if (const auto found = m_entries.find(id); found != m_entries.end())
        found->second.avoidUntil = now + internal::avoidancePeriod;
}

void FleetDirectory::recordCallSuccess(const HostId& id)
{
    if (const auto found = m_entries.find(id); found != m_entries.end())
        found->second.avoidUntil = {};
}

std::vector<LiveHost> FleetDirectory::liveHosts(MonotonicTime now) const
{
    std::vector<LiveHost> hosts;
    if (!m_leaving)
        hosts.push_back(m_self);
    for (const auto& [id, entry] : m_entries) {
        const bool silent = now - entry.lastAliveAt >= internal::silenceTimeout;
        if (!silent && !entry.leaving && now >= entry.avoidUntil)
            hosts.push_back(entry.host);
    }
    return hosts;
}

void FleetDirectory::evictSilentHosts(MonotonicTime now)
{
    std::erase_if(m_entries, [&](const auto& entry) { return now - entry.second.lastAliveAt >= internal::silentHostRetention; });
}

} // namespace lacewingsail
