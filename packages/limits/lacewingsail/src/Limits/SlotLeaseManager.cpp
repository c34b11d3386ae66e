#include <lacewingsail/Limits.h>

#include <lacewingsail/Wire.h>

#include <algorithm>
#include <utility>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds slotPoll { 100 };
    constexpr std::chrono::milliseconds slotPauseAfterError { 200 };
    constexpr int recordIdBytes = 12;
    /// How long a starting host waits for the log before it relies on the slots of other hosts.
    constexpr std::chrono::seconds startupLogTimeout { 2 };
    /// How long a planned stop waits for the releases to be read back, in addition to the loan term.
    constexpr std::chrono::seconds releaseTimeout { 5 };

    bool sameSlots(const HeldSlots& left, const HeldSlots& right)
    {
        return left.slots == right.slots && left.expiresAt == right.expiresAt;
    }

} // namespace internal

SlotLeaseManager::SlotLeaseManager(std::unique_ptr<LogService> log, SlotTerms terms, const Clock& clock, Journal& journal, Hosts hosts, Listener listener)
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

SlotLeaseManager::~SlotLeaseManager()
{
    m_stopping = true;
    m_thread.join();
}

void SlotLeaseManager::releaseAll()
{
    const std::lock_guard lock(m_mutex);
    if (std::exchange(m_releasing, true))
        return;
    m_releaseDeadline = m_clock.now() + m_terms.loanTerm + internal::releaseTimeout;
    m_claims.releaseAll(m_clock.now());
}

std::vector<SlotState> SlotLeaseManager::slots() const
{
    const std::lock_guard lock(m_mutex);
    return m_claims.fold().slots;
}

bool SlotLeaseManager::ready() const
{
    const std::lock_guard lock(m_mutex);
    if (!m_hasRead)
        return m_clock.now() >= m_startedAt + internal::startupLogTimeout;
    const std::vector<SlotState>& slots = m_claims.fold().slots;
    return std::ranges::any_of(slots, [](const SlotState& slot) { return !slot.holder.empty(); });
}

HeldSlots SlotLeaseManager::held() const
{
    const std::lock_guard lock(m_mutex);
    return m_claims.held(m_clock.now());
}

void SlotLeaseManager::run()
{
    while (!m_stopping) {
        const bool readSucceeded = readPage();
        if (readSucceeded && m_atEnd)
            appendNext();
        publish();
        checkReleased(readSucceeded);
        if (!readSucceeded)
            std::this_thread::sleep_for(internal::slotPauseAfterError);
    }
}

// Nothing is appended before the stream was read to its end, which is a page without records.
bool SlotLeaseManager::readPage()
{
    std::error_code error;
    const LogPage page = m_log->read(slotStream, m_position, internal::slotPoll, error);
    if (error)
        return false;
    if (!std::exchange(m_hasRead, true)) {
        const std::lock_guard lock(m_mutex);
        m_claims.setEarliestOffset(static_cast<std::int64_t>(page.earliest));
    }
    for (const LogRecord& record : page.records)
        processRecord(record);
    m_position = page.next;
    m_atEnd = page.records.empty();
    return true;
}

void SlotLeaseManager::processRecord(const LogRecord& record)
{
    Problems problems;
    const auto parsed = parseSlotRecord(record.body, problems);
    if (!parsed) {
        m_journal.record(Event("slot-record-malformed").with("reason", text(problems)));
        return;
    }
    const std::lock_guard lock(m_mutex);
    const SlotOutcome outcome = m_claims.applyRecord(*parsed, static_cast<std::int64_t>(record.offset), m_clock.now());
    if (parsed->kind == SlotRecordKind::Renew && !outcome.changed.empty())
        return;
    Event event("slot-record");
    event.with("kind", nameOf(parsed->kind)).with("host", parsed->host).with("holder", parsed->holder);
    event.with("slots", static_cast<long long>(parsed->slots.size())).with("changed", static_cast<long long>(outcome.changed.size()));
    m_journal.record(event);
}

void SlotLeaseManager::appendNext()
{
    std::optional<SlotRecord> next;
    {
        const std::lock_guard lock(m_mutex);
        next = m_claims.nextRecord(m_hosts(), randomHex(internal::recordIdBytes), m_clock.now());
    }
    // The response may be lost; whether the record was appended is seen when the stream is read.
    std::error_code ignored;
    if (next)
        m_log->append(slotStream, formatSlotRecord(*next), ignored);
}

void SlotLeaseManager::publish()
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

void SlotLeaseManager::checkReleased(bool readSucceeded)
{
    const std::lock_guard lock(m_mutex);
    if (!m_releasing)
        return;
    const MonotonicTime now = m_clock.now();
    const bool released = readSucceeded && m_atEnd && m_claims.holdsNoSlots();
    if (released || now >= m_releaseDeadline)
        m_releaseFinished = true;
}

} // namespace lacewingsail
