#include <lacewingsail/Observe.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace lacewingsail {

namespace internal {

    // About what one refusal, one further attempt and one failure for each request of a busy small host need.
    constexpr double linesPerSecond = 40;
    constexpr double lineBurst = 200;
    constexpr std::size_t mostPendingBytes = 64 * 1024;
    constexpr std::size_t flushBytes = 4096;

} // namespace internal

LineLog::LineLog(int descriptor, const Clock& clock)
    : m_descriptor(descriptor)
    , m_clock(clock)
    , m_lines(internal::lineBurst)
    , m_refilledAt(clock.now())
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool LineLog::mayWrite()
{
    const MonotonicTime now = m_clock.now();
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_refilledAt = now;
    m_lines = std::min(internal::lineBurst, m_lines + elapsed.count() * internal::linesPerSecond);
    if (m_lines < 1 || m_pending.size() >= internal::mostPendingBytes)
        return false;
    m_lines -= 1;
    return true;
}

void LineLog::append(std::string_view line)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    m_pending += "time_ms=";
    m_pending += std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    m_pending += ' ';
    m_pending += line;
    m_pending += '\n';
}

void LineLog::write(std::string_view line)
{
    if (!mayWrite()) {
        ++m_dropped;
        ++m_droppedInAll;
        return;
    }
    if (m_dropped > 0) {
        append(Event("log-lines-dropped").with("lines", static_cast<long long>(m_dropped)).line());
        m_dropped = 0;
    }
    append(line);
    if (m_pending.size() >= internal::flushBytes)
        flush();
}

void LineLog::flush()
{
    while (!m_pending.empty()) {
        const ssize_t written = ::write(m_descriptor, m_pending.data(), m_pending.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return;
        m_pending.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace lacewingsail
