#include <lacewingsail/Limits.h>

#include <lacewingsail/Wire.h>

#include <algorithm>
#include <utility>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds slotPoll { 100 };
    constexpr std::chrono::milliseconds slotPauseAfterError { 200 };
    constexpr int recordIdBytes = 12;
    /// How long a starting host waits for the log before it relies on the other hosts alone.
    constexpr std::chrono::seconds patienceForLog { 2 };
    /// How long a planned stop waits for the log to take the releases, on top of the loans' term.
    constexpr std::chrono::seconds releasePatience { 5 };

    bool sameSlots(const HeldSlots& left, const HeldSlots& right)
    {
        return left.slots == right.slots && left.expiresAt == right.expiresAt;
    }

} // namespace internal

SlotKeeper::SlotKeeper(std::unique_ptr<LogService> log, SlotTerms terms, const Clock& clock, Journal& journal, Hosts hosts, Listener listener)
    : m_log(std::move(log))
    , m_terms(terms)
    , m_clock(clock)
    , m_startedAt(clock.now())
    , m_journal(journal)
    , m_hosts(std::move(hosts))
    , m_listener(std::move(listener))
    , m_claims(std::move(terms), clock.now())
    , m_thread([this] { run(); })
{
}

SlotKeeper::~SlotKeeper()
{
    m_stopping = true;
    m_thread.join();
}

void SlotKeeper::giveUpAll()
{
    const std::lock_guard lock(m_mutex);
    if (std::exchange(m_givingUp, true))
        return;
    m_giveUpBy = m_clock.now() + m_terms.loanTerm + internal::releasePatience;
    m_claims.giveUpAll(m_clock.now());
}

std::vector<SlotState> SlotKeeper::slots() const
{
    const std::lock_guard lock(m_mutex);
    return m_claims.fold().slots;
}

bool SlotKeeper::ready() const
{
    const std::lock_guard lock(m_mutex);
    if (!m_begun)
        return m_clock.now() >= m_startedAt + internal::patienceForLog;
    const std::vector<SlotState>& slots = m_claims.fold().slots;
    return std::ranges::any_of(slots, [](const SlotState& slot) { return !slot.holder.empty(); });
}

HeldSlots SlotKeeper::held() const
{
    const std::lock_guard lock(m_mutex);
    return m_claims.held(m_clock.now());
}

void SlotKeeper::run()
{
    while (!m_stopping) {
        const bool heard = readOn();
        if (heard && m_atEnd)
            appendNext();
        publish();
        checkGivenUp(heard);
        if (!heard)
            std::this_thread::sleep_for(internal::slotPauseAfterError);
    }
}

// Nothing is appended before the stream was read to its end: a page without records.
bool SlotKeeper::readOn()
{
    std::error_code error;
    const LogPage page = m_log->read(slotStream, m_position, internal::slotPoll, error);
    if (error)
        return false;
    if (!std::exchange(m_begun, true)) {
        const std::lock_guard lock(m_mutex);
        m_claims.beginAt(static_cast<std::int64_t>(page.earliest));
    }
    for (const LogRecord& record : page.records)
        takeRecord(record);
    m_position = page.next;
    m_atEnd = page.records.empty();
    return true;
}

void SlotKeeper::takeRecord(const LogRecord& record)
{
    Problems problems;
    const auto parsed = parseSlotRecord(record.body, problems);
    if (!parsed) {
        m_journal.record(Event("slot-record-malformed").with("reason", text(problems)));
        return;
    }
    const std::lock_guard lock(m_mutex);
    const SlotOutcome outcome = m_claims.take(*parsed, static_cast<std::int64_t>(record.offset), m_clock.now());
    if (parsed->kind == SlotRecordKind::Renew && !outcome.changed.empty())
        return;
    Event event("slot-record");
    event.with("kind", nameOf(parsed->kind)).with("host", parsed->host).with("holder", parsed->holder);
    event.with("slots", static_cast<long long>(parsed->slots.size())).with("changed", static_cast<long long>(outcome.changed.size()));
    m_journal.record(event);
}

void SlotKeeper::appendNext()
{
    std::optional<SlotRecord> next;
    {
        const std::lock_guard lock(m_mutex);
        next = m_claims.nextRecord(m_hosts(), randomHex(internal::recordIdBytes), m_clock.now());
    }
    // The answer may be lost; the record is looked for in the stream in any case.
    std::error_code ignored;
    if (next)
        m_log->append(slotStream, formatSlotRecord(*next), ignored);
}

void SlotKeeper::publish()
{
    HeldSlots held;
    {
        const std::lock_guard lock(m_mutex);
        held = m_claims.held(m_clock.now());
    }
    if (internal::sameSlots(held, m_published))
        return;
    if (held.slots != m_published.slots)
        m_journal.record(Event("slots-held").with("host", m_terms.host).with("slots", static_cast<long long>(held.slots.size())));
    m_published = held;
    m_listener(held);
}

void SlotKeeper::checkGivenUp(bool heard)
{
    const std::lock_guard lock(m_mutex);
    if (!m_givingUp)
        return;
    const MonotonicTime now = m_clock.now();
    const bool released = heard && m_atEnd && m_claims.holdsNone();
    if (released || now >= m_giveUpBy)
        m_gaveUp = true;
}

} // namespace lacewingsail
