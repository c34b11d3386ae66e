#include <lacewingsail/Discovery.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // The platform has registrations that lapsed during its outage back about 2 s after its return.
    constexpr std::chrono::milliseconds renewalTime { 2300 };
    // A host that has heard nothing for this long reads the whole registry again.
    constexpr std::chrono::seconds departureMemory { 60 };

    bool isBefore(const RegisteredServer& server, std::chrono::milliseconds born, std::uint64_t heartbeat)
    {
        return server.born < born || (server.born == born && server.heartbeat < heartbeat);
    }

    bool differs(const RegisteredServer& left, const RegisteredServer& right)
    {
        RegisteredServer same = left;
        same.warmupLeft = right.warmupLeft;
        same.heartbeat = right.heartbeat;
        return same != right;
    }

} // namespace internal

bool ServerRegistry::put(const ServerChange& change, MonotonicTime now)
{
    m_departures.erase(change.id);
    const MonotonicTime warmupEndsAt = now + change.server->warmupLeft;
    const auto found = m_entries.find(change.id);
    if (found == m_entries.end()) {
        m_entries.emplace(change.id, Entry { *change.server, change.offset, warmupEndsAt, std::nullopt });
        return true;
    }
    Entry& entry = found->second;
    const bool changed = internal::differs(entry.server, *change.server) || entry.lapsedAt;
    if (changed)
        entry.changedAt = change.offset;
    entry.server = *change.server;
    entry.warmupEndsAt = warmupEndsAt;
    entry.lapsedAt.reset();
    return changed;
}

bool ServerRegistry::drop(const BackendServerId& id, LogOffset offset, MonotonicTime now)
{
    Departure& departure = m_departures[id];
    departure.offset = offset;
    departure.at = now;
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return false;
    departure.born = found->second.server.born;
    departure.heartbeat = found->second.server.heartbeat;
    m_entries.erase(found);
    return true;
}

bool ServerRegistry::lapse(const BackendServerId& id, LogOffset offset, Duration lapsedFor, MonotonicTime now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.lapsedAt)
        return false;
    found->second.changedAt = offset;
    found->second.lapsedAt = now - lapsedFor;
    return true;
}

// Heartbeats may reach the store late and out of order.
bool ServerRegistry::isOutdated(const ServerChange& change) const
{
    const auto entry = m_entries.find(change.id);
    if (entry != m_entries.end())
        return internal::isBefore(*change.server, entry->second.server.born, entry->second.server.heartbeat);
    const auto departure = m_departures.find(change.id);
    return departure != m_departures.end() && internal::isBefore(*change.server, departure->second.born, departure->second.heartbeat);
}

bool ServerRegistry::apply(const ServerChange& change, StoreTrust trust, MonotonicTime now)
{
    const auto found = m_entries.find(change.id);
    if (found != m_entries.end() && found->second.changedAt > change.offset)
        return false;
    const auto departed = m_departures.find(change.id);
    if (departed != m_departures.end() && departed->second.offset >= change.offset)
        return false;
    if (!change.server)
        return trust == StoreTrust::Sound ? drop(change.id, change.offset, now) : lapse(change.id, change.offset, {}, now);
    if (isOutdated(change))
        return false;
    bool changed = put(change, now);
    if (change.lapsedFor)
        changed = lapse(change.id, change.offset, *change.lapsedFor, now) || changed;
    return changed;
}

bool ServerRegistry::replace(std::span<const ServerChange> newest, LogOffset end, StoreTrust trust, MonotonicTime now)
{
    std::set<BackendServerId> named;
    bool changed = false;
    for (const ServerChange& change : newest) {
        named.insert(change.id);
        changed = apply(change, trust, now) || changed;
    }
    std::vector<BackendServerId> missing;
    for (const auto& [id, entry] : m_entries) {
        if (!named.contains(id) && entry.changedAt < end)
            missing.push_back(id);
    }
    for (const BackendServerId& id : missing)
        changed = apply({ id, end, std::nullopt, std::nullopt }, trust, now) || changed;
    readTo(end);
    return changed;
}

void ServerRegistry::readTo(LogOffset end) { m_end = std::max(m_end, end); }

bool ServerRegistry::settle(MonotonicTime now)
{
    std::vector<BackendServerId> overdue;
    for (const auto& [id, entry] : m_entries) {
        if (entry.lapsedAt && now - *entry.lapsedAt >= internal::renewalTime)
            overdue.push_back(id);
    }
    for (const BackendServerId& id : overdue)
        drop(id, m_entries.at(id).changedAt, now);
    forgetOldDepartures(now);
    return !overdue.empty();
}

void ServerRegistry::forgetOldDepartures(MonotonicTime now)
{
    std::erase_if(m_departures, [&](const auto& departure) {
        if (now - departure.second.at < internal::departureMemory)
            return false;
        m_completeFrom = std::max(m_completeFrom, next(departure.second.offset));
        return true;
    });
}

std::vector<ServerChange> ServerRegistry::everything(MonotonicTime now) const
{
    std::vector<ServerChange> changes;
    for (const auto& [id, entry] : m_entries) {
        ServerChange change { id, entry.changedAt, entry.server, std::nullopt };
        change.server->warmupLeft = std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(entry.warmupEndsAt - now));
        if (entry.lapsedAt)
            change.lapsedFor = now - *entry.lapsedAt;
        changes.push_back(std::move(change));
    }
    return changes;
}

std::optional<std::vector<ServerChange>> ServerRegistry::changesSince(LogOffset from, MonotonicTime now) const
{
    if (from < m_completeFrom || from == LogOffset {})
        return std::nullopt;
    std::vector<ServerChange> changes = everything(now);
    std::erase_if(changes, [&](const ServerChange& change) { return change.offset < from; });
    for (const auto& [id, departure] : m_departures) {
        if (departure.offset >= from)
            changes.push_back({ id, departure.offset, std::nullopt, std::nullopt });
    }
    return changes;
}

} // namespace lacewingsail
