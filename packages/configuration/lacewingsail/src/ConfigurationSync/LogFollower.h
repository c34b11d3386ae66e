#pragma once

#include <lacewingsail/Platform.h>
#include <lacewingsail/World.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace lacewingsail {

/// \brief What a LogFollower calls, all on its own thread. What is empty is not called.
struct LogFollowerCallbacks {
    /// Where to read next, given where the last page said to go on; follows the pages if empty.
    std::function<LogOffset(LogOffset next)> position;
    /// A page, and where it was asked to begin.
    std::function<void(LogOffset asked, const LogPage&)> page;
    /// The whole stream had been read as of this instant.
    std::function<void(MonotonicTime asOf)> caughtUp;
};

/// \brief Reads one stream of the log from its start and hands on every record in order, on its own thread.
class LogFollower {
public:
    using Handler = std::function<void(const LogRecord&)>;

    LogFollower(std::unique_ptr<LogService>, std::string stream, const Clock&, Handler);
    LogFollower(std::unique_ptr<LogService>, std::string stream, const Clock&, LogFollowerCallbacks);
    ~LogFollower();

    /// \returns when the log was last heard; the epoch of the clock if never.
    MonotonicTime lastHeard() const { return m_lastHeard.load(); }

    /// \returns whether the whole stream has been read at least once.
    bool everCaughtUp() const { return m_everCaughtUp.load(); }

private:
    void follow();
    void take(LogOffset asked, const LogPage&, MonotonicTime askedAt);

    const std::unique_ptr<LogService> m_log;
    const std::string m_stream;
    const Clock& m_clock;
    const LogFollowerCallbacks m_callbacks;
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_everCaughtUp { false };
    std::atomic<MonotonicTime> m_lastHeard { MonotonicTime {} };
    std::thread m_thread;
};

} // namespace lacewingsail
