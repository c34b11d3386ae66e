#include <lacewingsail/Discovery.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // The platform restores registrations that expired during an outage of the store about 2 s after its return.
    constexpr std::chrono::milliseconds renewalGracePeriod { 2300 };
    // A host that has received no updates for this long needs all servers again.
    constexpr std::chrono::seconds tombstoneRetention { 60 };

    bool isOlder(const RegisteredServer& server, std::chrono::milliseconds startedAt, std::uint64_t heartbeat)
    {
        return server.startedAt < startedAt || (server.startedAt == startedAt && server.heartbeat < heartbeat);
    }

    // Ignores the fields that change with every heartbeat.
    bool differs(const RegisteredServer& left, const RegisteredServer& right)
    {
        RegisteredServer same = left;
        same.warmupLeft = right.warmupLeft;
        same.heartbeat = right.heartbeat;
        return same != right;
    }

} // namespace internal

bool ServerRegistry::upsert(const ServerChange& change, MonotonicTime now)
{
    m_tombstones.erase(change.id);
    const MonotonicTime warmupEndsAt = now + change.server->warmupLeft;
    const auto found = m_entries.find(change.id);
    if (found == m_entries.end()) {
        m_entries.emplace(change.id, Entry { *change.server, change.offset, warmupEndsAt, std::nullopt });
        return true;
    }
    Entry& entry = found->second;
    const bool changed = internal::differs(entry.registration, *change.server) || entry.expiredAt;
    if (changed)
        entry.changeOffset = change.offset;
    entry.registration = *change.server;
    entry.warmupEndsAt = warmupEndsAt;
    entry.expiredAt.reset();
    return changed;
}

bool ServerRegistry::remove(const BackendServerId& id, LogOffset offset, MonotonicTime now)
{
    Tombstone& tombstone = m_tombstones[id];
    tombstone.offset = offset;
    tombstone.removedAt = now;
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return false;
    tombstone.startedAt = found->second.registration.startedAt;
    tombstone.heartbeat = found->second.registration.heartbeat;
    m_entries.erase(found);
    return true;
}

bool ServerRegistry::markExpired(const BackendServerId& id, LogOffset offset, Duration expiredFor, MonotonicTime now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.expiredAt)
        return false;
    found->second.changeOffset = offset;
    found->second.expiredAt = now - expiredFor;
    return true;
}

// Heartbeats may reach the store late and out of order.
bool ServerRegistry::isOutdated(const ServerChange& change) const
{
    const auto entry = m_entries.find(change.id);
    if (entry != m_entries.end())
        return internal::isOlder(*change.server, entry->second.registration.startedAt, entry->second.registration.heartbeat);
    const auto tombstone = m_tombstones.find(change.id);
    return tombstone != m_tombstones.end() && internal::isOlder(*change.server, tombstone->second.startedAt, tombstone->second.heartbeat);
}

bool ServerRegistry::apply(const ServerChange& change, StoreHealth health, MonotonicTime now)
{
    const auto found = m_entries.find(change.id);
    if (found != m_entries.end() && found->second.changeOffset > change.offset)
        return false;
    const auto tombstone = m_tombstones.find(change.id);
    if (tombstone != m_tombstones.end() && tombstone->second.offset >= change.offset)
        return false;
    if (!change.server)
        return health == StoreHealth::Healthy ? remove(change.id, change.offset, now) : markExpired(change.id, change.offset, {}, now);
    if (isOutdated(change))
        return false;
    bool changed = upsert(change, now);
    if (change.expiredFor)
        changed = markExpired(change.id, change.offset, *change.expiredFor, now) || changed;
    return changed;
}

bool ServerRegistry::replace(std::span<const ServerChange> latest, LogOffset end, StoreHealth health, MonotonicTime now)
{
    std::set<BackendServerId> present;
    bool changed = false;
    for (const ServerChange& change : latest) {
        present.insert(change.id);
        changed = apply(change, health, now) || changed;
    }
    std::vector<BackendServerId> missing;
    for (const auto& [id, entry] : m_entries) {
        if (!present.contains(id) && entry.changeOffset < end)
            missing.push_back(id);
    }
    for (const BackendServerId& id : missing)
        changed = apply({ id, end, std::nullopt, std::nullopt }, health, now) || changed;
    advanceEndOffset(end);
    return changed;
}

void ServerRegistry::advanceEndOffset(LogOffset end) { m_endOffset = std::max(m_endOffset, end); }

bool ServerRegistry::removeExpired(MonotonicTime now)
{
    std::vector<BackendServerId> overdue;
    for (const auto& [id, entry] : m_entries) {
        if (entry.expiredAt && now - *entry.expiredAt >= internal::renewalGracePeriod)
            overdue.push_back(id);
    }
    for (const BackendServerId& id : overdue)
        remove(id, m_entries.at(id).changeOffset, now);
    pruneTombstones(now);
    return !overdue.empty();
}

void ServerRegistry::pruneTombstones(MonotonicTime now)
{
    std::erase_if(m_tombstones, [&](const auto& tombstone) {
        if (now - tombstone.second.removedAt < internal::tombstoneRetention)
            return false;
        m_prunedBefore = std::max(m_prunedBefore, next(tombstone.second.offset));
        return true;
    });
}

std::vector<ServerChange> ServerRegistry::allServers(MonotonicTime now) const
{
    std::vector<ServerChange> changes;
    for (const auto& [id, entry] : m_entries) {
        ServerChange change { id, entry.changeOffset, entry.registration, std::nullopt };
        change.server->warmupLeft = std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(entry.warmupEndsAt - now));
        if (entry.expiredAt)
            change.expiredFor = now - *entry.expiredAt;
        changes.push_back(std::move(change));
    }
    return changes;
}

std::optional<std::vector<ServerChange>> ServerRegistry::changesSince(LogOffset from, MonotonicTime now) const
{
    if (from < m_prunedBefore || from == LogOffset {})
        return std::nullopt;
    std::vector<ServerChange> changes = allServers(now);
    std::erase_if(changes, [&](const ServerChange& change) { return change.offset < from; });
    for (const auto& [id, tombstone] : m_tombstones) {
        if (tombstone.offset >= from)
            changes.push_back({ id, tombstone.offset, std::nullopt, std::nullopt });
    }
    return changes;
}

} // namespace lacewingsail
