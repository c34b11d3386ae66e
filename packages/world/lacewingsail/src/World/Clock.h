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

/// \brief The machine's monotonic clock.
class SystemClock final : public Clock {
public:
    MonotonicTime now() const override { return std::chrono::steady_clock::now(); }
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
