#include <lacewingsail/Membership.h>

#include <utility>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds hostListInterval { 500 };

} // namespace internal

FleetMembership::FleetMembership(HostId self, std::unique_ptr<HostList> list, const Clock& clock)
    : m_self(std::move(self))
    , m_list(std::move(list))
    , m_clock(clock)
    , m_thread([this] { follow(); })
{
}

FleetMembership::~FleetMembership()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stopRequested.notify_all();
    m_thread.join();
}

std::vector<Host> FleetMembership::hosts() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Host> result = m_hosts;
    for (Host& host : result) {
        const auto link = m_links.find(host.id);
        host.leaving = host.leaving || (link != m_links.end() && link->second.leaving);
    }
    return result;
}

std::vector<Host> FleetMembership::peers() const
{
    std::vector<Host> result = hosts();
    std::erase_if(result, [this](const Host& host) { return host.id == m_self; });
    return result;
}

void FleetMembership::heard(const HostId& from, const std::vector<HostId>& unheardByIt, std::optional<bool> leaving)
{
    const std::lock_guard lock(m_mutex);
    const auto link = m_links.find(from);
    const bool wasLeaving = link != m_links.end() && link->second.leaving;
    recordHeard(m_links, from, m_self, unheardByIt, leaving.value_or(wasLeaving), m_clock.now());
}

std::vector<LinkView> FleetMembership::links() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<LinkView> result;
    for (const auto& [host, link] : m_links)
        result.push_back({ host, directionOf(link), link.leaving });
    return result;
}

std::vector<HostId> FleetMembership::unheard(std::size_t most) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<HostId> result;
    for (const auto& [host, link] : m_links) {
        if (result.size() < most && directionOf(link) == LinkDirection::NotHeard)
            result.push_back(host);
    }
    return result;
}

LinkDirection FleetMembership::directionOf(const Link& link) const
{
    return lacewingsail::linkDirection(link, m_clock.now(), silenceTimeout(m_links.size(), exchangeInterval));
}

void FleetMembership::follow()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        std::error_code error;
        std::vector<Host> hosts = m_list->hosts(error);
        lock.lock();
        if (!error && hosts != m_hosts) {
            m_hosts = std::move(hosts);
            updateListedHosts(m_links, m_hosts, m_self, m_clock.now());
            log(Event("membership-changed").with("hosts", static_cast<long long>(m_hosts.size())));
        }
        m_stopRequested.wait_for(lock, internal::hostListInterval, [this] { return m_stopping; });
    }
}

} // namespace lacewingsail
