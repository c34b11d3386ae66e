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
    constexpr std::chrono::milliseconds serversPatience { 1300 };
    constexpr std::chrono::milliseconds configurationPatience { 1500 };
    constexpr std::chrono::milliseconds firstRetryDelay { 150 };
    // Readers of an outage stay below the store's rates: 132 hosts at this delay make 132 calls a second.
    constexpr std::chrono::milliseconds longestRetryDelay { 1000 };
    constexpr int mostDoublings = 3;
    // Without news for this long, from the store or other hosts, the store counts as away: four readings and exchanges.
    constexpr std::chrono::milliseconds knowledgeGap { 2000 };
    // How long after the store's return missing registrations are not believed to be gone: the platform has living
    // servers back about 2 s after it.
    constexpr std::chrono::milliseconds distrust { 2500 };

} // namespace internal

StoreFollower::StoreFollower(RecordLog& log, ActiveConfiguration& active, ServerRegistry& registry, ServerDecoder decoder, const Clock& clock, std::function<void()> changed)
    : m_log(log)
    , m_active(active)
    , m_registry(registry)
    , m_decoder(std::move(decoder))
    , m_clock(clock)
    , m_changed(std::move(changed))
{
}

StoreTrust StoreFollower::trust() const
{
    const MonotonicTime now = m_clock.now();
    const bool away = now - m_servers.knownAsOf >= internal::knowledgeGap;
    const bool justBack = m_gapEndedAt && now - *m_gapEndedAt < internal::distrust;
    return away || justBack ? StoreTrust::JustBack : StoreTrust::Sound;
}

bool StoreFollower::isDue(const Followed& followed, ReadingDuty duty) const
{
    const MonotonicTime now = m_clock.now();
    if (followed.reading || now < followed.nextRead)
        return false;
    const auto patience = followed.stream == RecordStream::Servers ? internal::serversPatience : internal::configurationPatience;
    return duty == ReadingDuty::Reader || !followed.begun || now - followed.knownAsOf >= patience;
}

void StoreFollower::tick(ReadingDuty duty)
{
    for (Followed* followed : { &m_configuration, &m_servers }) {
        if (isDue(*followed, duty))
            read(*followed);
    }
    if (m_registry.settle(m_clock.now()))
        m_changed();
}

void StoreFollower::heard(MonotonicTime configurationAsOf, MonotonicTime serversAsOf)
{
    know(m_configuration, configurationAsOf);
    know(m_servers, serversAsOf);
}

void StoreFollower::know(Followed& followed, MonotonicTime asOf)
{
    if (&followed == &m_servers && asOf - followed.knownAsOf >= internal::knowledgeGap)
        m_gapEndedAt = m_clock.now();
    followed.knownAsOf = std::max(followed.knownAsOf, asOf);
}

void StoreFollower::read(Followed& followed)
{
    followed.reading = true;
    const MonotonicTime askedAt = m_clock.now();
    if (!followed.begun) {
        m_log.newest(followed.stream, [this, &followed, askedAt](const LogReading& reading) { take(followed, reading, askedAt, true); });
        return;
    }
    const bool waits = followed.stream == RecordStream::Configuration;
    if (!waits)
        followed.from = std::max(followed.from, m_registry.end());
    const auto wait = waits ? internal::configurationWait : std::chrono::milliseconds(0);
    m_log.read(followed.stream, followed.from, wait, [this, &followed, askedAt](const LogReading& reading) { take(followed, reading, askedAt, false); });
}

void StoreFollower::noteFailure(Followed& followed, ResultCode code)
{
    const MonotonicTime now = m_clock.now();
    if (followed.failures++ == 0)
        log(Event("store-lost").with("stream", static_cast<long long>(followed.stream)).with("reason", code));
    const auto delay = internal::firstRetryDelay * (1 << std::min(followed.failures - 1, internal::mostDoublings));
    followed.nextRead = now + std::min(delay, internal::longestRetryDelay);
}

void StoreFollower::noteSuccess(Followed& followed, MonotonicTime asOf)
{
    if (followed.failures > 0)
        log(Event("store-regained").with("stream", static_cast<long long>(followed.stream)).with("failed_calls", followed.failures));
    followed.failures = 0;
    followed.begun = true;
    know(followed, asOf);
    followed.nextRead = followed.stream == RecordStream::Configuration ? m_clock.now() : asOf + internal::serversInterval;
}

void StoreFollower::take(Followed& followed, const LogReading& reading, MonotonicTime askedAt, bool newest)
{
    followed.reading = false;
    if (reading.code == ResultCode::CheckpointMissing) {
        log(Event("store-history-forgotten").with("stream", static_cast<long long>(followed.stream)));
        followed.begun = false;
        followed.nextRead = m_clock.now();
        return;
    }
    if (reading.code != ResultCode::Ok)
        return noteFailure(followed, reading.code);
    const bool changed = followed.stream == RecordStream::Configuration ? takeConfiguration(reading) : takeServers(reading, newest);
    followed.from = reading.end;
    // A wait that brought nothing shows that there was nothing until its end.
    const bool waited = !newest && followed.stream == RecordStream::Configuration && reading.records.empty();
    noteSuccess(followed, waited ? std::min(m_clock.now(), askedAt + internal::configurationWait) : askedAt);
    if (changed)
        m_changed();
}

bool StoreFollower::takeConfiguration(const LogReading& reading)
{
    bool changed = false;
    for (const KeyedRecord& record : reading.records) {
        if (record.value)
            changed = m_active.take(*record.value) || changed;
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

bool StoreFollower::takeServers(const LogReading& reading, bool newest)
{
    const MonotonicTime now = m_clock.now();
    std::vector<ServerChange> changes;
    for (const KeyedRecord& record : reading.records)
        changes.push_back(decode(record));
    if (newest)
        return m_registry.replace(changes, reading.end, trust(), now);
    bool changed = false;
    for (const ServerChange& change : changes)
        changed = m_registry.apply(change, trust(), now) || changed;
    m_registry.readTo(reading.end);
    return changed;
}

} // namespace lacewingsail
