#include <lacewingsail/World.h>

#include <ctime>

namespace lacewingsail {

std::chrono::nanoseconds timeSinceBoot()
{
    timespec time {};
    // Cannot fail: the clock exists on every supported kernel, and the address is valid.
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

SystemClock::SystemClock()
    : m_readTimeSinceBoot(timeSinceBoot)
{
    static const MonotonicTime origin = originOf(timeSinceBoot);
    m_origin = origin;
}

} // namespace lacewingsail
