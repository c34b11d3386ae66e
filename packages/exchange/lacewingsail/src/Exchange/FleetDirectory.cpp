#include <lacewingsail/Exchange.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // Two lists of hosts and the exchanges on their way: a host that is frozen for less keeps its duties. Those that call
    // a host which does not answer avoid it at once.
    constexpr std::chrono::milliseconds silenceBound { 5000 };
    // Long enough for a host that restarts, short enough to come back to a relay after a cut.
    constexpr std::chrono::milliseconds avoidance { 1500 };
    constexpr std::chrono::seconds directoryMemory { 60 };

} // namespace internal

void FleetDirectory::heard(const LiveHost& host, MonotonicTime heardAt, bool leaving)
{
    if (host.id == m_self.id)
        return;
    Entry& entry = m_entries[host.id];
    if (heardAt < entry.heardAt)
        return;
    entry.host = host;
    entry.heardAt = heardAt;
    entry.leaving = leaving;
}

void FleetDirectory::failed(const HostId& id, MonotonicTime now)
{
    if (const auto found = m_entries.find(id); found != m_entries.end())
        found->second.avoidUntil = now + internal::avoidance;
}

void FleetDirectory::answered(const HostId& id)
{
    if (const auto found = m_entries.find(id); found != m_entries.end())
        found->second.avoidUntil = {};
}

std::vector<LiveHost> FleetDirectory::live(MonotonicTime now) const
{
    std::vector<LiveHost> hosts;
    if (!m_leaving)
        hosts.push_back(m_self);
    for (const auto& [id, entry] : m_entries) {
        const bool silent = now - entry.heardAt >= internal::silenceBound;
        if (!silent && !entry.leaving && now >= entry.avoidUntil)
            hosts.push_back(entry.host);
    }
    return hosts;
}

void FleetDirectory::forgetSilent(MonotonicTime now)
{
    std::erase_if(m_entries, [&](const auto& entry) { return now - entry.second.heardAt >= internal::directoryMemory; });
}

} // namespace lacewingsail
