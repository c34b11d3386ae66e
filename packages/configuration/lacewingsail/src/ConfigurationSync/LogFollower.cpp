#include <lacewingsail/ConfigurationSync.h>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds longPoll { 1000 };
    constexpr std::chrono::milliseconds pauseAfterError { 200 };

} // namespace internal

LogFollower::LogFollower(std::unique_ptr<LogService> log, std::string stream, const Clock& clock, Handler handler)
    : m_log(std::move(log))
    , m_stream(std::move(stream))
    , m_clock(clock)
    , m_handler(std::move(handler))
    , m_thread([this] { follow(); })
{
}

LogFollower::~LogFollower()
{
    m_stopping = true;
    m_thread.join();
}

void LogFollower::follow()
{
    LogOffset position {};
    while (!m_stopping) {
        std::error_code error;
        const LogPage page = m_log->read(m_stream, position, internal::longPoll, error);
        if (error) {
            std::this_thread::sleep_for(internal::pauseAfterError);
            continue;
        }
        for (const LogRecord& record : page.records)
            m_handler(record);
        position = page.next;
        m_lastHeard = m_clock.now();
    }
}

} // namespace lacewingsail
