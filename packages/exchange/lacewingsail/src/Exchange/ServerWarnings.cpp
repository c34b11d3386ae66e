#include <lacewingsail/Exchange.h>

namespace lacewingsail {

namespace internal {

    // Shorter than the time in which a host sends its next request to the same server, long enough to collect what
    // several servers do at once.
    constexpr std::chrono::milliseconds collectionTime { 25 };
    // A server that goes on failing is told of this often; its suspicion lasts longer.
    constexpr std::chrono::milliseconds repetition { 400 };
    // Older failures have been spread by the exchange.
    constexpr std::chrono::milliseconds oldestNews { 1500 };

} // namespace internal

ServerWarnings::ServerWarnings(FleetDirectory& directory, EventLoop& loop, const Clock& clock, Heard heard)
    : m_directory(directory)
    , m_loop(loop)
    , m_clock(clock)
    , m_heard(std::move(heard))
{
}

bool ServerWarnings::isNews(const BackendServerId& server, MonotonicTime failedAt)
{
    const MonotonicTime now = m_clock.now();
    std::erase_if(m_told, [&](const auto& told) { return now - told.second.toldAt >= internal::oldestNews; });
    const auto found = m_told.find(server);
    if (found != m_told.end() && failedAt < found->second.failedAt + internal::repetition)
        return false;
    m_told[server] = { failedAt, now };
    return true;
}

void ServerWarnings::raise(const BackendServerId& server)
{
    const MonotonicTime now = m_clock.now();
    if (isNews(server, now))
        queue(server, now, m_directory.self().id);
}

void ServerWarnings::take(const FailureNews& news)
{
    const MonotonicTime now = m_clock.now();
    for (const ServerFailure& failure : news.failures) {
        const MonotonicTime failedAt = now - failure.age;
        m_heard(failure.server, failedAt);
        if (failure.age < internal::oldestNews && isNews(failure.server, failedAt))
            queue(failure.server, failedAt, news.sender);
    }
}

void ServerWarnings::queue(const BackendServerId& server, MonotonicTime failedAt, const HostId& from)
{
    m_queued[server] = failedAt;
    m_senders.insert(from);
    if (m_scheduled)
        return;
    m_scheduled = true;
    m_loop.after(internal::collectionTime, [this] { send(); });
}

// A relay passes on to its zone, and what its own zone told also to the relays of the others.
std::vector<LiveHost> ServerWarnings::receivers(const std::set<HostId>& senders) const
{
    const LiveHost& self = m_directory.self();
    const auto live = m_directory.live(m_clock.now());
    const auto own = relaysOf(live, self.zone);
    if (own.empty() || own.front()->id != self.id)
        return own.empty() || !senders.contains(self.id) ? std::vector<LiveHost> {} : std::vector<LiveHost> { *own.front() };
    std::vector<LiveHost> receivers;
    std::set<ZoneId> zones;
    bool toldByZone = senders.contains(self.id);
    for (const LiveHost& host : live) {
        if (host.zone != self.zone)
            zones.insert(host.zone);
        else if (senders.contains(host.id))
            toldByZone = true;
        else if (host.id != self.id)
            receivers.push_back(host);
    }
    for (const ZoneId& zone : toldByZone ? zones : std::set<ZoneId> {})
        receivers.push_back(*relaysOf(live, zone).front());
    return receivers;
}

void ServerWarnings::send()
{
    m_scheduled = false;
    const MonotonicTime now = m_clock.now();
    FailureNews news { m_directory.self().id, {} };
    for (const auto& [server, failedAt] : m_queued)
        news.failures.push_back({ server, std::chrono::duration_cast<std::chrono::milliseconds>(now - failedAt) });
    const std::set<HostId> senders = std::exchange(m_senders, {});
    m_queued.clear();
    if (!m_calls)
        return;
    for (const LiveHost& host : receivers(senders))
        m_calls->warn(host.peers, news);
}

} // namespace lacewingsail
