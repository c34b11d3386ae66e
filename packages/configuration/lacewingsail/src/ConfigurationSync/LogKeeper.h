#pragma once

#include "ConfigurationState.h"
#include "KeyFreshnessTracker.h"

#include <lacewingsail/Membership.h>
#include <lacewingsail/Platform.h>
#include <lacewingsail/World.h>

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace lacewingsail {

/// \brief When the log last held a checkpoint that nobody need replace soon. Safe to use from several threads.
class CheckpointAge {
public:
    void seen(MonotonicTime at);
    std::optional<MonotonicTime> lastSeen() const;

private:
    mutable std::mutex m_mutex;
    std::optional<MonotonicTime> m_lastSeen;
};

/// \brief What a LogKeeper works with. All must outlive it.
struct LogKeeperParts {
    const HostSettings& settings;
    const Clock& clock;
    ConfigurationState& state;
    const KeyFreshnessTracker& freshness;
    const CheckpointAge& checkpointAge;
    const FleetMembership& membership;
    Journal& journal;
};

/// \brief Writes what must not be missing from the log: withdrawals that reached hosts while it was away, and
/// checkpoints before records expire. That several hosts write the same does no harm.
class LogKeeper {
public:
    /// \param startThread false lets a test call step() itself.
    LogKeeper(const LogKeeperParts&, std::unique_ptr<LogService>, bool startThread = true);
    ~LogKeeper();

    /// \brief Writes what is due now.
    void step();

private:
    void run();
    bool logIsHeard(MonotonicTime now) const;
    void appendMissingWithdrawals(MonotonicTime now);
    void appendCheckpoint(MonotonicTime now);
    bool append(const char* stream, const std::string& body);

    const LogKeeperParts m_parts;
    const std::unique_ptr<LogService> m_log;
    const MonotonicTime m_startedAt;
    std::optional<MonotonicTime> m_lackingSince;
    MonotonicTime m_nextAttempt {};
    std::mutex m_mutex;
    std::condition_variable m_stopRequested;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace lacewingsail
