#pragma once

#include <lacewingsail/Platform.h>
#include <lacewingsail/World.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace lacewingsail {

/// \brief Reads one stream of the log from its start and hands on every record in order, on its own thread.
class LogFollower {
public:
    using Handler = std::function<void(const LogRecord&)>;

    LogFollower(std::unique_ptr<LogService>, std::string stream, const Clock&, Handler);
    ~LogFollower();

    /// \returns when the log was last heard; the epoch of the clock if never.
    MonotonicTime lastHeard() const { return m_lastHeard.load(); }

private:
    void follow();

    const std::unique_ptr<LogService> m_log;
    const std::string m_stream;
    const Clock& m_clock;
    const Handler m_handler;
    std::atomic<bool> m_stopping { false };
    std::atomic<MonotonicTime> m_lastHeard { MonotonicTime {} };
    std::thread m_thread;
};

} // namespace lacewingsail
