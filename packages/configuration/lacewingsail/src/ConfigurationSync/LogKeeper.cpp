#include <lacewingsail/ConfigurationSync.h>

#include <lacewingsail/Wire.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds upkeepInterval { 200 };
    constexpr std::chrono::milliseconds logHeardWithin { 3000 };
    // An append without an answer may have taken effect; the record has this long to show up before the next try.
    constexpr std::chrono::milliseconds pauseAfterAppend { 1000 };

} // namespace internal

void CheckpointAge::seen(MonotonicTime at)
{
    const std::lock_guard lock(m_mutex);
    m_lastSeen = m_lastSeen ? std::max(*m_lastSeen, at) : at;
}

std::optional<MonotonicTime> CheckpointAge::lastSeen() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastSeen;
}

LogKeeper::LogKeeper(const LogKeeperParts& parts, std::unique_ptr<LogService> log, bool startThread)
    : m_parts(parts)
    , m_log(std::move(log))
    , m_startedAt(parts.clock.now())
{
    if (startThread)
        m_thread = std::thread([this] { run(); });
}

LogKeeper::~LogKeeper()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stopRequested.notify_all();
    m_log->interrupt();
    if (m_thread.joinable())
        m_thread.join();
}

void LogKeeper::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopRequested.wait_for(lock, internal::upkeepInterval, [this] { return m_stopping; })) {
        lock.unlock();
        step();
        lock.lock();
    }
}

void LogKeeper::step()
{
    const MonotonicTime now = m_parts.clock.now();
    if (!logIsHeard(now)) {
        m_lackingSince.reset();
        return;
    }
    appendMissingWithdrawals(now);
    appendCheckpoint(now);
}

bool LogKeeper::logIsHeard(MonotonicTime now) const
{
    const MonotonicTime heard = m_parts.freshness.logKnownAsOf();
    return heard != MonotonicTime {} && now - heard < internal::logHeardWithin;
}

void LogKeeper::appendMissingWithdrawals(MonotonicTime now)
{
    const std::vector<KeyId> missing = m_parts.state.withdrawnButNotLogged();
    if (missing.empty()) {
        m_lackingSince.reset();
        return;
    }
    if (!m_lackingSince)
        m_lackingSince = now;
    const TaskRank rank = taskRank(withdrawalStream, m_parts.settings.id, m_parts.membership.hosts());
    if (now < withdrawalsDueAt(*m_lackingSince, rank) || now < m_nextAttempt)
        return;
    const bool appended = append(withdrawalStream, formatKeyWithdrawal({ missing, m_parts.settings.id.value() }));
    m_nextAttempt = now + internal::pauseAfterAppend;
    m_parts.journal.record(Event("withdrawals-appended").with("keys", static_cast<long long>(missing.size())).with("answer", appended ? "yes" : "no"));
}

void LogKeeper::appendCheckpoint(MonotonicTime now)
{
    const HostSettings& settings = m_parts.settings;
    // How old the checkpoints are that were there before this host cannot be told from them, so it assumes the worst.
    const MonotonicTime last = m_parts.checkpointAge.lastSeen().value_or(m_startedAt - settings.logRetention / 4);
    const TaskRank rank = taskRank(configurationStream, settings.id, m_parts.membership.hosts());
    if (now < checkpointDueAt(last, settings.logRetention, rank) || now < m_nextAttempt)
        return;
    const ConfigurationFold fold = m_parts.state.fold();
    if (m_parts.state.behindGap() || !fold.current.configuration)
        return;
    m_nextAttempt = now + internal::pauseAfterAppend;
    const auto withdrawn = m_parts.state.withdrawn();
    // The withdrawn keys go first: a checkpoint in the log tells the other hosts that both are there.
    if (!withdrawn->empty() && !append(withdrawalStream, formatKeyWithdrawal({ { withdrawn->begin(), withdrawn->end() }, settings.id.value() })))
        return;
    const bool appended = append(configurationStream, formatCheckpointOf(fold));
    m_parts.journal.record(Event("checkpoint-appended").with("version", static_cast<long long>(number(fold.version))).with("position", static_cast<long long>(number(fold.position))).with("answer", appended ? "yes" : "no"));
}

bool LogKeeper::append(const char* stream, const std::string& body)
{
    std::error_code error;
    m_log->append(stream, body, error);
    return !error;
}

} // namespace lacewingsail
