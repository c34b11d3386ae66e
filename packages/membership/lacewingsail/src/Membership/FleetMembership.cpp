#include <lacewingsail/Membership.h>

#include <utility>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds hostListInterval { 500 };

} // namespace internal

FleetMembership::FleetMembership(HostId self, std::unique_ptr<HostList> list)
    : m_self(std::move(self))
    , m_list(std::move(list))
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
    return m_hosts;
}

std::vector<Host> FleetMembership::peers() const
{
    std::vector<Host> result = hosts();
    std::erase_if(result, [this](const Host& host) { return host.id == m_self; });
    return result;
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
            log(Event("membership-changed").with("hosts", static_cast<long long>(m_hosts.size())));
        }
        m_stopRequested.wait_for(lock, internal::hostListInterval, [this] { return m_stopping; });
    }
}

} // namespace lacewingsail
