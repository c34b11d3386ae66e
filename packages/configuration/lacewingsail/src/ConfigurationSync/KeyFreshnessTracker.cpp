#include <lacewingsail/ConfigurationSync.h>

#include <algorithm>

namespace lacewingsail {

KeyFreshnessTracker::KeyFreshnessTracker(KeyFreshness& freshness, std::chrono::milliseconds bound, HostId self)
    : m_freshness(freshness)
    , m_bound(bound)
    , m_self(std::move(self))
{
}

void KeyFreshnessTracker::heardLog(MonotonicTime asOf)
{
    const std::lock_guard lock(m_mutex);
    m_logHeard = std::max(m_logHeard, asOf);
    if (m_logHeard != MonotonicTime {})
        m_freshness.extendUntil(m_logHeard + m_bound);
}

void KeyFreshnessTracker::heardPeer(const HostId& peer, MonotonicTime asOf)
{
    const std::lock_guard lock(m_mutex);
    MonotonicTime& heard = m_peersHeard[peer];
    heard = std::max(heard, asOf);
}

void KeyFreshnessTracker::refresh(MonotonicTime now, const std::vector<Host>& listed)
{
    const std::lock_guard lock(m_mutex);
    std::vector<MonotonicTime> heard;
    for (const Host& host : listed) {
        const auto found = m_peersHeard.find(host.id);
        if (host.id != m_self && found != m_peersHeard.end())
            heard.push_back(found->second);
    }
    const MonotonicTime knownAsOf = withdrawalsKnownAsOf(now, m_logHeard, std::move(heard), listed.size());
    if (knownAsOf != MonotonicTime {})
        m_freshness.extendUntil(knownAsOf + m_bound);
}

MonotonicTime KeyFreshnessTracker::logKnownAsOf() const
{
    const std::lock_guard lock(m_mutex);
    return m_logHeard;
}

} // namespace lacewingsail
