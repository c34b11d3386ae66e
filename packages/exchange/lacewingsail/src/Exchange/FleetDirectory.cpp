#include <lacewingsail/Exchange.h>

#include <algorithm>
#include <utility>

namespace lacewingsail {

namespace internal {

    // Time for two host lists and the exchanges that pass them on. A host that freezes for less stays coordinator and relay;
    // hosts that call it without an answer avoid it at once.
    constexpr std::chrono::milliseconds silenceTimeout { 5000 };
    // Time after which all hosts know of a host: two host lists and two exchanges.
    constexpr std::chrono::milliseconds gossipDelay { 5000 };
    // A silent coordinator may still hear the hosts that no longer hear it, and counts them among its own for silenceTimeout.
    constexpr std::chrono::milliseconds takeoverDelay = silenceTimeout + gossipDelay;
    // Uptime from which a host coordinates accounts while most of the fleet is starting. Hosts that do not know all others yet
    // may disagree on the coordinator, but their shares are as small as the part they know.
    constexpr std::chrono::milliseconds fleetStartDelay { 250 };
    // Share of the live hosts that have been up for gossipDelay, from which they can coordinate all accounts by themselves.
    constexpr double establishedShare = 0.25;
    // Start times of one process, as computed from its age by several hosts, differ by the delays of their messages.
    constexpr std::chrono::milliseconds startTimeTolerance { 2000 };
    // Long enough for a host to restart, short enough to call a relay again soon after a network partition.
    constexpr std::chrono::milliseconds avoidancePeriod { 1500 };
    // Unreachable hosts count until then: a network partition between regions can last that long.
    constexpr std::chrono::minutes silentHostRetention { 30 };

    bool isSilent(const FleetDirectory::Entry& entry, MonotonicTime now) { return now - entry.lastAliveAt >= silenceTimeout; }

} // namespace internal

bool isValid(const HostRecord& record)
{
    return isValidName(record.host.id.value()) && isValidName(record.host.zone.value()) && isValidFleetSize(record.fleetSize);
}

void FleetDirectory::recordAlive(const LiveHost& host, MonotonicTime aliveAt, MonotonicTime startedAt, bool leaving)
{
    if (host.id == m_self.id)
        return;
    Entry& entry = m_entries[host.id];
    if (aliveAt < entry.lastAliveAt)
        return;
    const bool wasKnown = entry.lastAliveAt != MonotonicTime {};
    const bool restarted = startedAt - entry.startedAt > internal::startTimeTolerance;
    if (wasKnown && !restarted && aliveAt - entry.lastAliveAt >= internal::silenceTimeout)
        entry.returnedAt = aliveAt;
    if (wasKnown && restarted)
        entry.grantsEndedAt = startedAt;
    if (leaving && !entry.leaving)
        entry.grantsEndedAt = aliveAt;
    // Of several values for one process, the earliest has the smallest delay in it.
    if (!wasKnown || restarted || startedAt < entry.startedAt)
        entry.startedAt = startedAt;
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

bool FleetDirectory::isAvoided(const HostId& id, MonotonicTime now) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && now < found->second.avoidUntil;
}

std::vector<LiveHost> FleetDirectory::liveHosts(MonotonicTime now) const
{
    std::vector<LiveHost> hosts;
    if (!m_leaving)
        hosts.push_back(m_self);
    for (const auto& [id, entry] : m_entries) {
        if (!internal::isSilent(entry, now) && !entry.leaving && now >= entry.avoidUntil)
            hosts.push_back(entry.host);
    }
    return hosts;
}

// Uptime from which hosts coordinate accounts. By then all hosts know of them, so that all change the coordinator at once.
Duration FleetDirectory::coordinationDelay(MonotonicTime now) const
{
    std::size_t live = 1;
    std::size_t established = now - m_startedAt >= internal::gossipDelay ? 1 : 0;
    for (const auto& [id, entry] : m_entries) {
        if (entry.leaving || internal::isSilent(entry, now))
            continue;
        ++live;
        established += now - entry.startedAt >= internal::gossipDelay ? 1 : 0;
    }
    const bool sufficient = static_cast<double>(established) >= static_cast<double>(live) * internal::establishedShare;
    return sufficient ? internal::gossipDelay : internal::fleetStartDelay;
}

std::vector<LiveHost> FleetDirectory::coordinatorCandidates(MonotonicTime now) const
{
    const Duration delay = coordinationDelay(now);
    std::vector<LiveHost> hosts;
    if (!m_leaving && now - m_startedAt >= delay)
        hosts.push_back(m_self);
    for (const auto& [id, entry] : m_entries) {
        if (!internal::isSilent(entry, now) && !entry.leaving && now - entry.startedAt >= delay)
            hosts.push_back(entry.host);
    }
    return hosts;
}

// While most of the fleet is starting, the tokens since the start of this process may have been granted by a host that has been
// restarted or has begun to leave since, or by one that has been up for longer than the others and was enough to coordinate all
// accounts until the latest of them started.
MonotonicTime FleetDirectory::earlierGrantsEndedAt(MonotonicTime now) const
{
    MonotonicTime endedAt = m_startedAt;
    MonotonicTime latestStart {};
    bool established = now - m_startedAt >= internal::gossipDelay;
    for (const auto& [id, entry] : m_entries) {
        endedAt = std::max(endedAt, entry.grantsEndedAt);
        if (entry.leaving || internal::isSilent(entry, now))
            continue;
        latestStart = std::max(latestStart, entry.startedAt);
        established = established || now - entry.startedAt >= internal::gossipDelay;
    }
    return established ? std::max(endedAt, latestStart) : endedAt;
}

GrantAuthority FleetDirectory::coordinatorAuthority(const ClientAccountId& account, MonotonicTime now) const
{
    const Duration delay = coordinationDelay(now);
    if (m_leaving || !knowsFleetSize() || now - m_startedAt < delay)
        return {};
    MonotonicTime since = delay == internal::fleetStartDelay ? earlierGrantsEndedAt(now) : m_startedAt + delay;
    const std::uint64_t ownWeight = rendezvousWeight(account.value(), m_self.id.value());
    for (const auto& [id, entry] : m_entries) {
        if (rendezvousWeight(account.value(), id.value()) <= ownWeight)
            continue;
        const auto endedAt = grantsEndedAt(entry, delay, now);
        if (!endedAt)
            return {};
        since = std::max(since, *endedAt);
    }
    return { reachableShare(now), since };
}

// When another host had granted its last tokens; nothing if it may still grant some.
std::optional<MonotonicTime> FleetDirectory::grantsEndedAt(const Entry& entry, Duration delay, MonotonicTime now)
{
    const MonotonicTime takeoverAt = entry.lastAliveAt + internal::takeoverDelay;
    if (entry.leaving)
        return entry.lastAliveAt;
    if (now >= takeoverAt)
        return takeoverAt;
    if (now - entry.startedAt < delay)
        return entry.startedAt;
    return std::nullopt;
}

CellAuthority FleetDirectory::cellAuthority(const ZoneId& zone, std::string_view cell, MonotonicTime now) const
{
    const Duration delay = coordinationDelay(now);
    if (m_leaving || !knowsFleetSize() || m_self.zone != zone || now - m_startedAt < delay)
        return {};
    std::vector<LiveHost> hosts { m_self };
    for (const auto& [id, entry] : m_entries) {
        if (entry.host.zone == zone)
            hosts.push_back(entry.host);
    }
    MonotonicTime since = delay == internal::fleetStartDelay ? earlierGrantsEndedAt(now) : m_startedAt + delay;
    ColdServerSender role = ColdServerSender::FirstCoordinator;
    for (const LiveHost* host : rankHostsByProcessor(hosts, cell, hosts.size())) {
        if (host->id == m_self.id)
            break;
        const auto endedAt = grantsEndedAt(m_entries.at(host->id), delay, now);
        if (endedAt) {
            since = std::max(since, *endedAt);
            continue;
        }
        if (std::exchange(role, ColdServerSender::SecondCoordinator) == ColdServerSender::SecondCoordinator)
            return {};
    }
    return { role, { reachableShare(now), since } };
}

// The hosts on the other side of a network partition use their own share of each account there. A host that returns after
// a silence may still count others among its own.
double FleetDirectory::reachableShare(MonotonicTime now) const
{
    const auto reachable = std::ranges::count_if(m_entries, [&](const auto& known) {
        const Entry& entry = known.second;
        return !entry.leaving && !internal::isSilent(entry, now) && now - entry.returnedAt >= internal::gossipDelay;
    });
    return static_cast<double>(reachable + 1) / static_cast<double>(fleetSize(now));
}

std::size_t FleetDirectory::fleetSize(MonotonicTime now) const
{
    const std::size_t known = 1 + static_cast<std::size_t>(std::ranges::count_if(m_entries, [](const auto& entry) { return !entry.second.leaving; }));
    return now - m_fleetSize.asOf < internal::silentHostRetention ? std::max(known, m_fleetSize.hosts) : known;
}

void FleetDirectory::recordFleetSize(const FleetSize& size)
{
    if (size.asOf > m_fleetSize.asOf)
        m_fleetSize = size;
}

GrantAuthority FleetDirectory::uncoordinatedAuthority(MonotonicTime now) const
{
    if (m_leaving || !knowsFleetSize())
        return {};
    return { 1.0 / static_cast<double>(fleetSize(now)), m_startedAt };
}

void FleetDirectory::evictSilentHosts(MonotonicTime now)
{
    std::erase_if(m_entries, [&](const auto& entry) { return now - entry.second.lastAliveAt >= internal::silentHostRetention; });
}

} // namespace lacewingsail
