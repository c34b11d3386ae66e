#include <lacewingsail/Discovery.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // A change of the configuration ends the wait at once. The longest wait bounds how long a connection that went silent
    // is believed in: with the store's time to answer it stays below the 2 s within which a configuration must be in force.
    constexpr std::chrono::milliseconds configurationWait { 700 };
    // Each server's heartbeat is a record, so that waiting for news of servers would never rest. Readers and listeners
    // together learn of a leaving server within this and one exchange, below the 2 s of the operators' bound.
    constexpr std::chrono::milliseconds serversInterval { 450 };
    // A listener reads for itself once what it heard is this old: a reader's interval and two exchanges have passed by
    // then without news, and there is time left for a read before the operators' bound of 2 s.
    constexpr std::chrono::milliseconds serversStaleAfter { 1300 };
    constexpr std::chrono::milliseconds configurationStaleAfter { 1500 };
    constexpr std::chrono::milliseconds initialRetryDelay { 150 };
    // Readers of an outage stay below the store's rates: 132 hosts at this delay make 132 calls a second.
    constexpr std::chrono::milliseconds maxRetryDelay { 1000 };
    constexpr int maxDoublings = 3;
    // Without news for this long, from the store or other hosts, the store counts as away: four readings and exchanges.
    constexpr std::chrono::milliseconds outageThreshold { 2000 };
    // How long after the store's return missing registrations are not believed to be gone: the platform has living
    // servers back about 2 s after it.
    constexpr std::chrono::milliseconds recoveryPeriod { 2500 };

} // namespace internal

StoreFollower::StoreFollower(RecordStore& log, ActiveConfiguration& active, ServerRegistry& registry, ServerDecoder decoder, const Clock& clock, std::function<void()> onChange)
    : m_store(log)
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
    const bool away = now - m_servers.knownAsOf >= internal::outageThreshold;
    const bool justBack = m_outageEndedAt && now - *m_outageEndedAt < internal::recoveryPeriod;
    return away || justBack ? StoreHealth::Recovering : StoreHealth::Healthy;
}

bool StoreFollower::isDue(const Followed& followed, StoreReaderRole duty) const
{
    const MonotonicTime now = m_clock.now();
    if (followed.reading || now < followed.nextRead)
        return false;
    const auto patience = followed.stream == RecordStream::Servers ? internal::serversStaleAfter : internal::configurationStaleAfter;
    return duty == StoreReaderRole::Primary || !followed.initialized || now - followed.knownAsOf >= patience;
}

void StoreFollower::tick(StoreReaderRole duty)
{
    for (Followed* followed : { &m_configuration, &m_servers }) {
        if (isDue(*followed, duty))
            read(*followed);
    }
    if (m_registry.removeExpired(m_clock.now()))
        m_onChange();
}

void StoreFollower::recordFreshness(MonotonicTime configurationAsOf, MonotonicTime serversAsOf)
{
    advanceAsOf(m_configuration, configurationAsOf);
    advanceAsOf(m_servers, serversAsOf);
}

void StoreFollower::advanceAsOf(Followed& followed, MonotonicTime asOf)
{
    if (&followed == &m_servers && asOf - followed.knownAsOf >= internal::outageThreshold)
        m_outageEndedAt = m_clock.now();
    followed.knownAsOf = std::max(followed.knownAsOf, asOf);
}

void StoreFollower::read(Followed& followed)
{
    followed.reading = true;
    const MonotonicTime askedAt = m_clock.now();
    if (!followed.initialized) {
        m_store.readLatest(followed.stream, [this, &followed, askedAt](const StoreReadResult& reading) { handleRead(followed, reading, askedAt, true); });
        return;
    }
    const bool waits = followed.stream == RecordStream::Configuration;
    if (!waits)
        followed.from = std::max(followed.from, m_registry.endOffset());
    const auto wait = waits ? internal::configurationWait : std::chrono::milliseconds(0);
    m_store.read(followed.stream, followed.from, wait, [this, &followed, askedAt](const StoreReadResult& reading) { handleRead(followed, reading, askedAt, false); });
}

void StoreFollower::recordFailure(Followed& followed, ResultCode code)
{
    const MonotonicTime now = m_clock.now();
    if (followed.failures++ == 0)
        log(Event("store-unavailable").with("stream", static_cast<long long>(followed.stream)).with("reason", code));
    const auto delay = internal::initialRetryDelay * (1 << std::min(followed.failures - 1, internal::maxDoublings));
    followed.nextRead = now + std::min(delay, internal::maxRetryDelay);
}

void StoreFollower::recordSuccess(Followed& followed, MonotonicTime asOf)
{
    if (followed.failures > 0)
        log(Event("store-recovered").with("stream", static_cast<long long>(followed.stream)).with("failed_reads", followed.failures));
    followed.failures = 0;
    followed.initialized = true;
    advanceAsOf(followed, asOf);
    followed.nextRead = followed.stream == RecordStream::Configuration ? m_clock.now() : asOf + internal::serversInterval;
}

void StoreFollower::handleRead(Followed& followed, const StoreReadResult& reading, MonotonicTime askedAt, bool newest)
{
    followed.reading = false;
    if (reading.code == ResultCode::CheckpointMissing) {
        log(Event("store-records-expired").with("stream", static_cast<long long>(followed.stream)));
        followed.initialized = false;
        followed.nextRead = m_clock.now();
        return;
    }
    if (reading.code != ResultCode::Ok)
        return recordFailure(followed, reading.code);
    const bool changed = followed.stream == RecordStream::Configuration ? applyConfiguration(reading) : applyServers(reading, newest);
    followed.from = reading.nextOffset;
    // A wait that brought nothing shows that there was nothing until its end.
    const bool waited = !newest && followed.stream == RecordStream::Configuration && reading.records.empty();
    recordSuccess(followed, waited ? std::min(m_clock.now(), askedAt + internal::configurationWait) : askedAt);
    if (changed)
        m_onChange();
}

bool StoreFollower::applyConfiguration(const StoreReadResult& reading)
{
    bool changed = false;
    for (const KeyedRecord& record : reading.records) {
        if (record.value)
            changed = m_active.applyIfNewer(*record.value) || changed;
    }
    return changed;
}

ServerChange StoreFollower::decode(const KeyedRecord& record) const
{
    ServerChange change { BackendServerId(record.key), record.offset, std::nullopt, std::nullopt };
    if (record.value)
        change.server = m_decoder(change.id, *record.value);
    return change;
}

bool StoreFollower::applyServers(const StoreReadResult& reading, bool newest)
{
    const MonotonicTime now = m_clock.now();
    std::vector<ServerChange> changes;
    for (const KeyedRecord& record : reading.records)
        changes.push_back(decode(record));
    if (newest)
        return m_registry.replace(changes, reading.nextOffset, storeHealth(), now);
    bool changed = false;
    for (const ServerChange& change : changes)
        changed = m_registry.apply(change, storeHealth(), now) || changed;
    m_registry.advanceEndOffset(reading.nextOffset);
    return changed;
}

} // namespace lacewingsail
