#include <lacewingsail/Discovery.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // The platform restores registrations that expired during an outage of the store about 2 s after its return.
    constexpr std::chrono::milliseconds renewalGracePeriod { 2300 };
    // A host that has received no updates for this long needs all servers again.
    constexpr std::chrono::seconds tombstoneRetention { 60 };
    // Two heartbeats of a server: by then its registration says for how long it stays cold.
    constexpr std::chrono::milliseconds assumedColdPeriod { 3000 };

    // Ignores the fields that change with every heartbeat.
    bool differs(const RegisteredServer& left, const RegisteredServer& right)
    {
        RegisteredServer same = left;
        same.warmupLeft = right.warmupLeft;
        same.heartbeat = right.heartbeat;
        return same != right;
    }

    // Delays of heartbeats and messages change the end of a cold period by less.
    constexpr std::chrono::milliseconds warmupTolerance { 250 };

    bool turnedCold(MonotonicTime before, MonotonicTime after, MonotonicTime now) { return after > std::max(before, now) + warmupTolerance; }

    // Hosts that follow a newer era have read its records, but what an older one said besides is in no record any more.
    bool mayLack(StorePosition changePosition, StorePosition from)
    {
        return changePosition >= from || changePosition.era < from.era;
    }

} // namespace internal

bool ServerRegistry::upsert(const ServerChange& change, MonotonicTime now)
{
    m_tombstones.erase(change.id);
    const MonotonicTime warmupEndsAt = now + change.server->warmupLeft;
    const auto found = m_entries.find(change.id);
    if (found == m_entries.end()) {
        m_entries.emplace(change.id, Entry { *change.server, change.position, warmupEndsAt, std::nullopt, {} });
        return true;
    }
    Entry& entry = found->second;
    const bool renewed = entry.expiredAt && !change.expiredFor && change.position >= entry.changePosition;
    const bool changed = internal::differs(entry.registration, *change.server) || internal::turnedCold(entry.warmupEndsAt, warmupEndsAt, now) || renewed;
    entry.registration = *change.server;
    entry.warmupEndsAt = std::max(warmupEndsAt, entry.assumedColdUntil);
    if (renewed)
        entry.expiredAt.reset();
    // An expired entry keeps the position of its expiry. A change of an older era keeps that era, so that other hosts hear of it.
    const StorePosition previous = entry.changePosition;
    if (!entry.expiredAt && (changed || previous.era < change.position.era))
        entry.changePosition = previous.era == change.position.era ? std::max(previous, change.position) : change.position;
    return changed;
}

// Removals that have been pruned may still come from other hosts and are not kept again.
bool ServerRegistry::recordRemoval(const ServerChange& change, MonotonicTime now)
{
    const auto found = m_tombstones.find(change.id);
    if (found == m_tombstones.end()) {
        if (change.position >= m_prunedBefore)
            m_tombstones.emplace(change.id, Tombstone { change.position, now, change.lastStamp });
        return false;
    }
    Tombstone& tombstone = found->second;
    tombstone.lastStamp = std::max(tombstone.lastStamp, change.lastStamp);
    if (change.position > tombstone.position) {
        tombstone.position = change.position;
        tombstone.removedAt = now;
    }
    return false;
}

bool ServerRegistry::remove(const ServerChange& change, MonotonicTime now)
{
    const auto found = m_entries.find(change.id);
    m_tombstones[change.id] = { change.position, now, std::max(change.lastStamp, found->second.registration.stamp()) };
    m_entries.erase(found);
    return true;
}

bool ServerRegistry::markExpired(const BackendServerId& id, StorePosition position, Duration expiredFor, MonotonicTime now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.expiredAt)
        return false;
    found->second.changePosition = position;
    found->second.expiredAt = now - expiredFor;
    return true;
}

bool ServerRegistry::isOutdated(const ServerChange& change) const
{
    const RegistrationStamp stamp = change.server->stamp();
    if (const auto entry = m_entries.find(change.id); entry != m_entries.end()) {
        const RegistrationStamp known = entry->second.registration.stamp();
        return stamp < known || (stamp == known && change.position < entry->second.changePosition);
    }
    if (const auto found = m_tombstones.find(change.id); found != m_tombstones.end()) {
        const Tombstone& tombstone = found->second;
        if (change.position.era > tombstone.position.era)
            return stamp <= tombstone.lastStamp;
        return change.position <= tombstone.position || stamp < tombstone.lastStamp;
    }
    return change.position.era < m_end.era;
}

bool ServerRegistry::applyRemoval(const ServerChange& change, StoreHealth health, MonotonicTime now)
{
    const auto found = m_entries.find(change.id);
    if (found == m_entries.end())
        return recordRemoval(change, now);
    const Entry& entry = found->second;
    // The entry may come from a copy of the store that is older than the removal.
    if (change.position.era < entry.changePosition.era)
        return change.lastStamp >= entry.registration.stamp() && remove(change, now);
    if (change.position < entry.changePosition)
        return false;
    return health == StoreHealth::Healthy ? remove(change, now) : markExpired(change.id, change.position, {}, now);
}

bool ServerRegistry::apply(const ServerChange& change, StoreHealth health, MonotonicTime now)
{
    if (!change.server)
        return applyRemoval(change, health, now);
    if (isOutdated(change))
        return false;
    bool changed = upsert(change, now);
    if (change.expiredFor)
        changed = markExpired(change.id, change.position, *change.expiredFor, now) || changed;
    return changed;
}

bool ServerRegistry::replace(std::span<const ServerChange> latest, StorePosition end, StoreHealth health, MonotonicTime now)
{
    std::set<BackendServerId> present;
    bool changed = false;
    for (const ServerChange& change : latest) {
        present.insert(change.id);
        changed = apply(change, health, now) || changed;
    }
    std::vector<BackendServerId> missing;
    for (const auto& [id, entry] : m_entries) {
        if (!present.contains(id) && entry.changePosition < end)
            missing.push_back(id);
    }
    for (const BackendServerId& id : missing)
        changed = apply({ id, end, std::nullopt, std::nullopt }, health, now) || changed;
    advanceEnd(end);
    return changed;
}

bool ServerRegistry::apply(const ZoneEvacuation& record, std::string_view source, MonotonicTime now)
{
    const EvacuationChange change = m_evacuations.apply(record);
    if (change == EvacuationChange::None)
        return false;
    Event event(change == EvacuationChange::Began ? "evacuation-learned" : change == EvacuationChange::Ended ? "evacuation-taken-back"
                                                                                                             : "evacuation-refused");
    event.with("zone", record.zone).with("era", static_cast<long long>(number(record.position.era))).with("offset", static_cast<long long>(number(record.position.offset)));
    log(event.with("source", source));
    // They may all have been restarted meanwhile.
    if (change == EvacuationChange::Ended)
        assumeCold(record.zone, now + internal::assumedColdPeriod);
    return change != EvacuationChange::Refused;
}

void ServerRegistry::assumeCold(const ZoneId& zone, MonotonicTime until)
{
    for (auto& [id, entry] : m_entries) {
        if (entry.registration.zone != zone)
            continue;
        entry.assumedColdUntil = std::max(entry.assumedColdUntil, until);
        entry.warmupEndsAt = std::max(entry.warmupEndsAt, until);
    }
}

void ServerRegistry::advanceEnd(StorePosition end) { m_end = std::max(m_end, end); }

bool ServerRegistry::removeExpired(StoreHealth health, MonotonicTime now)
{
    std::vector<BackendServerId> overdue;
    for (const auto& [id, entry] : m_entries) {
        if (entry.expiredAt && (health == StoreHealth::Healthy || now - *entry.expiredAt >= internal::renewalGracePeriod))
            overdue.push_back(id);
    }
    for (const BackendServerId& id : overdue)
        remove({ id, m_entries.at(id).changePosition, std::nullopt, std::nullopt }, now);
    pruneTombstones(now);
    return !overdue.empty();
}

void ServerRegistry::pruneTombstones(MonotonicTime now)
{
    std::erase_if(m_tombstones, [&](const auto& tombstone) {
        if (now - tombstone.second.removedAt < internal::tombstoneRetention)
            return false;
        m_prunedBefore = std::max(m_prunedBefore, next(tombstone.second.position));
        return true;
    });
}

std::vector<ServerChange> ServerRegistry::allServers(MonotonicTime now) const
{
    std::vector<ServerChange> changes;
    for (const auto& [id, entry] : m_entries) {
        ServerChange change { id, entry.changePosition, entry.registration, std::nullopt };
        change.server->warmupLeft = std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(entry.warmupEndsAt - now));
        if (entry.expiredAt)
            change.expiredFor = now - *entry.expiredAt;
        changes.push_back(std::move(change));
    }
    for (const auto& [id, tombstone] : m_tombstones)
        changes.push_back({ id, tombstone.position, std::nullopt, std::nullopt, tombstone.lastStamp });
    return changes;
}

std::optional<std::vector<ServerChange>> ServerRegistry::changesSince(StorePosition from, MonotonicTime now) const
{
    if (from < m_prunedBefore || from.offset == LogOffset {})
        return std::nullopt;
    std::vector<ServerChange> changes = allServers(now);
    std::erase_if(changes, [&](const ServerChange& change) { return !internal::mayLack(change.position, from); });
    return changes;
}

} // namespace lacewingsail
