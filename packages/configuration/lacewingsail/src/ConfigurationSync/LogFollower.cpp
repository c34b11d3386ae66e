#include <lacewingsail/ConfigurationSync.h>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds longPoll { 1000 };
    constexpr std::chrono::milliseconds noWait { 0 };
    constexpr std::chrono::milliseconds pauseAfterError { 200 };

    LogFollowerCallbacks callbacksFor(LogFollower::Handler handler)
    {
        LogFollowerCallbacks callbacks;
        callbacks.page = [handler = std::move(handler)](LogOffset, const LogPage& page) {
            for (const LogRecord& record : page.records)
                handler(record);
        };
        return callbacks;
    }

} // namespace internal

LogFollower::LogFollower(std::unique_ptr<LogService> log, std::string stream, const Clock& clock, Handler handler)
    : LogFollower(std::move(log), std::move(stream), clock, internal::callbacksFor(std::move(handler)))
{
}

LogFollower::LogFollower(std::unique_ptr<LogService> log, std::string stream, const Clock& clock, LogFollowerCallbacks callbacks)
    : m_log(std::move(log))
    , m_stream(std::move(stream))
    , m_clock(clock)
    , m_callbacks(std::move(callbacks))
    , m_thread([this] { follow(); })
{
}

LogFollower::~LogFollower()
{
    m_stopping = true;
    m_log->interrupt();
    m_thread.join();
}

void LogFollower::follow()
{
    LogOffset position {};
    // After a page with records the end is looked for at once, so that a busy stream, too, is known to its end.
    std::chrono::milliseconds wait = internal::noWait;
    while (!m_stopping) {
        if (m_callbacks.position)
            position = m_callbacks.position(position);
        const MonotonicTime askedAt = m_clock.now();
        std::error_code error;
        const LogPage page = m_log->read(m_stream, position, wait, error);
        if (error) {
            wait = internal::noWait;
            std::this_thread::sleep_for(internal::pauseAfterError);
            continue;
        }
        take(position, page, askedAt);
        position = page.next;
        wait = page.records.empty() ? internal::longPoll : internal::noWait;
    }
}

void LogFollower::take(LogOffset asked, const LogPage& page, MonotonicTime askedAt)
{
    if (m_callbacks.page)
        m_callbacks.page(asked, page);
    if (page.records.empty()) {
        m_everCaughtUp = true;
        // The answer may have lain in a buffer while this process was paused, so only the time of asking counts.
        if (m_callbacks.caughtUp)
            m_callbacks.caughtUp(askedAt);
    }
    m_lastHeard = m_clock.now();
}

} // namespace lacewingsail
