#pragma once

#include <chrono>

namespace lacewingsail {

/// \brief Instant of a host's own monotonic clock; instants of two hosts cannot be compared.
using MonotonicTime = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// \brief Source of time, passed to whatever needs it so that tests can set it.
class Clock {
public:
    virtual ~Clock() = default;
    virtual MonotonicTime now() const = 0;
};

/// \brief Time since the machine's start, suspensions included.
std::chrono::nanoseconds timeSinceBoot();

/// \brief The machine's monotonic clock, which also counts the time for which the machine was suspended: leases and permissions
/// run out meanwhile.
///
/// Equal to std::chrono::steady_clock until the machine is suspended, ahead of it afterwards.
class SystemClock final : public Clock {
public:
    /// All clocks of a process agree.
    SystemClock();

    explicit SystemClock(std::chrono::nanoseconds (*readTimeSinceBoot)())
        : m_readTimeSinceBoot(readTimeSinceBoot)
        , m_origin(originOf(readTimeSinceBoot))
    {
    }

    MonotonicTime now() const override { return m_origin + std::chrono::duration_cast<Duration>(m_readTimeSinceBoot()); }

private:
    static MonotonicTime originOf(std::chrono::nanoseconds (*readTimeSinceBoot)()) { return std::chrono::steady_clock::now() - std::chrono::duration_cast<Duration>(readTimeSinceBoot()); }

    std::chrono::nanoseconds (*m_readTimeSinceBoot)();
    MonotonicTime m_origin;
};

/// \brief A clock that moves only when told to.
class ManualClock final : public Clock {
public:
    MonotonicTime now() const override { return m_now; }
    void advance(Duration step) { m_now += step; }

private:
    MonotonicTime m_now {};
};

} // namespace lacewingsail
