#include <lacewingsail/Discovery.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // A long poll: a new configuration ends the wait at once. The wait bounds how long a connection that went silent is
    // trusted; with the store's response time it stays below the 2 s within which a new configuration must be active.
    constexpr std::chrono::milliseconds configurationWait { 700 };
    // Polled, since each server's heartbeat is a record and a long poll would return at once. All hosts know of a draining
    // server within this interval and one exchange, below the operators' bound of 2 s.
    constexpr std::chrono::milliseconds serversInterval { 450 };
    // Age of the known state at which a standby host reads the store itself. By then a read interval of the primary and two
    // exchanges have passed without an update, and there is time left for a read before the operators' bound of 2 s.
    constexpr std::chrono::milliseconds serversStaleAfter { 1300 };
    constexpr std::chrono::milliseconds configurationStaleAfter { 1500 };
    constexpr std::chrono::milliseconds initialRetryDelay { 150 };
    // Keeps the fleet below the store's rate limits during an outage: 132 hosts at this delay make 132 calls a second.
    constexpr std::chrono::milliseconds maxRetryDelay { 1000 };
    constexpr int maxDoublings = 3;
    // Age of the known registrations from which the store counts as unavailable: four intervals of reads or exchanges without
    // an answer of the store or fresh state of another host.
    constexpr std::chrono::milliseconds outageThreshold { 2000 };
    // Time after an outage, or after a change of era, in which a missing registration does not show that its server is gone: the
    // registrations of live servers are back about 2 s after the store's return.
    constexpr std::chrono::milliseconds recoveryPeriod { 2500 };

} // namespace internal

StoreFollower::StoreFollower(RecordStore& store, ActiveConfiguration& active, ServerRegistry& registry, ServerDecoder decoder, const Clock& clock, std::function<void()> onChange)
    : m_store(store)
    , m_active(active)
    , m_registry(registry)
    , m_decoder(std::move(decoder))
    , m_clock(clock)
    , m_onChange(std::move(onChange))
{
}

StoreHealth StoreFollower::storeHealth() const
{
    const MonotonicTime now = m_clock.now();
    const bool unavailable = now - lastHeardOf(m_servers) >= internal::outageThreshold;
    const bool recovering = m_outageEndedAt && now - *m_outageEndedAt < internal::recoveryPeriod;
    return unavailable || recovering ? StoreHealth::Recovering : StoreHealth::Healthy;
}

// The time before the first read is no outage.
MonotonicTime StoreFollower::lastHeardOf(const FollowedStream& followed) const { return std::max(followed.knownAsOf, m_firstReadAt); }

bool StoreFollower::isDue(const FollowedStream& followed, StoreReaderRole role) const
{
    const MonotonicTime now = m_clock.now();
    if (followed.readInFlight || now < followed.nextReadAt)
        return false;
    const auto maxAge = followed.stream == RecordStream::Servers ? internal::serversStaleAfter : internal::configurationStaleAfter;
    return role == StoreReaderRole::Primary || !followed.initialized || now - followed.knownAsOf >= maxAge;
}

void StoreFollower::tick(StoreReaderRole role)
{
    if (m_firstReadAt == MonotonicTime {})
        m_firstReadAt = m_clock.now();
    for (FollowedStream* followed : { &m_configuration, &m_servers }) {
        if (isDue(*followed, role))
            read(*followed);
    }
    if (m_registry.removeExpired(storeHealth(), m_clock.now()))
        m_onChange();
}

void StoreFollower::recordFreshness(MonotonicTime configurationAsOf, MonotonicTime serversAsOf)
{
    advanceAsOf(m_configuration, configurationAsOf);
    advanceAsOf(m_servers, serversAsOf);
}

void StoreFollower::recordEra(StoreEra era, std::string_view source)
{
    if (era <= m_era)
        return;
    if (m_servers.knownAsOf != MonotonicTime {}) {
        log(Event("store-restored").with("era", static_cast<long long>(number(era))).with("previous_era", static_cast<long long>(number(m_era))).with("source", source));
        m_outageEndedAt = m_clock.now();
    }
    m_era = era;
}

// The latest record is read, as the records since this host's last read may have expired.
void StoreFollower::requireConfiguration()
{
    if (!m_configuration.readInFlight)
        m_configuration.initialized = false;
}

void StoreFollower::advanceAsOf(FollowedStream& followed, MonotonicTime asOf)
{
    if (&followed == &m_servers && asOf - lastHeardOf(followed) >= internal::outageThreshold)
        m_outageEndedAt = m_clock.now();
    followed.knownAsOf = std::max(followed.knownAsOf, asOf);
}

void StoreFollower::read(FollowedStream& followed)
{
    followed.readInFlight = true;
    const MonotonicTime requestedAt = m_clock.now();
    if (followed.stream == RecordStream::Servers)
        followed.next = std::max(followed.next, m_registry.end());
    if (!followed.initialized || followed.next.era < m_era) {
        m_store.readLatest(followed.stream, [this, &followed, requestedAt](const StoreReadResult& result) { handleRead(followed, result, requestedAt, true); });
        return;
    }
    const bool isLongPoll = followed.stream == RecordStream::Configuration;
    const auto wait = isLongPoll ? internal::configurationWait : std::chrono::milliseconds(0);
    m_store.read(followed.stream, followed.next.offset, wait, [this, &followed, requestedAt](const StoreReadResult& result) { handleRead(followed, result, requestedAt, false); });
}

void StoreFollower::recordFailure(FollowedStream& followed, ResultCode code)
{
    const MonotonicTime now = m_clock.now();
    if (followed.failures++ == 0)
        log(Event("store-unavailable").with("stream", static_cast<long long>(followed.stream)).with("reason", code));
    const auto delay = internal::initialRetryDelay * (1 << std::min(followed.failures - 1, internal::maxDoublings));
    followed.nextReadAt = now + std::min(delay, internal::maxRetryDelay);
}

void StoreFollower::recordSuccess(FollowedStream& followed, MonotonicTime asOf)
{
    if (followed.failures > 0)
        log(Event("store-recovered").with("stream", static_cast<long long>(followed.stream)).with("failed_reads", followed.failures));
    followed.failures = 0;
    followed.initialized = true;
    advanceAsOf(followed, asOf);
    followed.nextReadAt = followed.stream == RecordStream::Configuration ? m_clock.now() : asOf + internal::serversInterval;
}

// An answer may have been on its way while the store came back, and in a newer era the requested offset means another record.
bool StoreFollower::belongsToAnotherEra(FollowedStream& followed, const StoreReadResult& result, bool isSnapshot)
{
    if (result.era < m_era) {
        log(Event("store-response-outdated").with("stream", static_cast<long long>(followed.stream)).with("era", static_cast<long long>(number(result.era))).with("current_era", static_cast<long long>(number(m_era))));
        recordFailure(followed, ResultCode::LogUnavailable);
        return true;
    }
    if (isSnapshot || result.era == followed.next.era)
        return false;
    followed.nextReadAt = m_clock.now();
    return true;
}

void StoreFollower::handleRead(FollowedStream& followed, const StoreReadResult& result, MonotonicTime requestedAt, bool isSnapshot)
{
    followed.readInFlight = false;
    recordEra(result.era, ActiveConfiguration::storeSource);
    const bool answered = result.code == ResultCode::Ok || result.code == ResultCode::CheckpointMissing;
    if (answered && belongsToAnotherEra(followed, result, isSnapshot))
        return;
    if (result.code == ResultCode::CheckpointMissing) {
        log(Event("store-records-expired").with("stream", static_cast<long long>(followed.stream)));
        followed.initialized = false;
        followed.nextReadAt = m_clock.now();
        return;
    }
    if (result.code != ResultCode::Ok)
        return recordFailure(followed, result.code);
    bool changed = false;
    if (followed.stream == RecordStream::Configuration) {
        changed = applyEvacuations(result, isSnapshot);
        changed = applyConfiguration(result) || changed;
    } else {
        changed = applyServers(result, isSnapshot);
    }
    followed.next = { result.era, result.nextOffset };
    // A long poll without records shows that there were none until its end.
    const bool timedOut = !isSnapshot && followed.stream == RecordStream::Configuration && result.records.empty();
    recordSuccess(followed, timedOut ? std::min(m_clock.now(), requestedAt + internal::configurationWait) : requestedAt);
    if (changed)
        m_onChange();
}

bool StoreFollower::applyConfiguration(const StoreReadResult& result)
{
    bool changed = false;
    for (const KeyedRecord& record : result.records) {
        if (record.value && !record.evacuation)
            changed = m_active.applyIfNewer(*record.value, ActiveConfiguration::storeSource) || changed;
    }
    return changed;
}

// A zone of which a snapshot shows a record that cannot be read is not missing from it.
bool StoreFollower::applyEvacuations(const StoreReadResult& result, bool isSnapshot)
{
    const MonotonicTime now = m_clock.now();
    bool changed = false;
    std::vector<ZoneId> shown;
    for (const KeyedRecord& record : result.records) {
        if (!record.evacuation)
            continue;
        const ZoneId& zone = record.evacuation->zone;
        const bool valid = isValidName(zone.value());
        if (!valid || record.evacuation->malformed) {
            log(Event("evacuation-record-malformed").with("offset", static_cast<long long>(number(record.offset))).with("reason", valid ? "value" : "zone"));
            shown.push_back(zone);
            continue;
        }
        shown.push_back(zone);
        changed = m_registry.apply({ zone, { result.era, record.offset }, !record.value }, ActiveConfiguration::storeSource, now) || changed;
    }
    if (!isSnapshot)
        return changed;
    for (const ZoneEvacuation& end : m_registry.evacuations().missingFrom(shown, { result.era, result.nextOffset }))
        changed = m_registry.apply(end, ActiveConfiguration::storeSource, now) || changed;
    return changed;
}

// A key that cannot be the id of a server is skipped altogether: its removal could not be sent to other hosts either.
std::optional<ServerChange> StoreFollower::decode(const KeyedRecord& record, StoreEra era) const
{
    if (!isValidName(record.key)) {
        log(Event("server-key-malformed").with("offset", static_cast<long long>(number(record.offset))));
        return std::nullopt;
    }
    ServerChange change { BackendServerId(record.key), { era, record.offset }, std::nullopt, std::nullopt };
    if (record.value)
        change.server = m_decoder(change.id, *record.value);
    if (const auto field = change.server ? invalidField(*change.server) : std::nullopt) {
        log(Event("server-record-malformed").with("server", change.id).with("reason", *field));
        change.server.reset();
    }
    return change;
}

bool StoreFollower::applyServers(const StoreReadResult& result, bool isSnapshot)
{
    const MonotonicTime now = m_clock.now();
    std::vector<ServerChange> changes;
    for (const KeyedRecord& record : result.records) {
        if (auto change = decode(record, result.era))
            changes.push_back(std::move(*change));
    }
    if (isSnapshot)
        return m_registry.replace(changes, { result.era, result.nextOffset }, storeHealth(), now);
    bool changed = false;
    for (const ServerChange& change : changes)
        changed = m_registry.apply(change, storeHealth(), now) || changed;
    m_registry.advanceEnd({ result.era, result.nextOffset });
    return changed;
}

} // namespace lacewingsail
