#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::seconds firstHold { 2 };
    constexpr std::chrono::seconds longestHold { 120 };
    constexpr std::chrono::seconds flapInterval { 60 };
    constexpr std::chrono::milliseconds probeInterval { 300 };
    constexpr std::chrono::milliseconds rampDuration { 5000 };
    constexpr int probesForReturn = 3;
    constexpr int shareStep = 10;

    Duration doubled(Duration hold) { return std::clamp<Duration>(hold * 2, firstHold, longestHold); }

} // namespace internal

void beginHold(Recovery& recovery, MonotonicTime now)
{
    const bool flaps = recovery.everReturned && now - recovery.returnedAt < internal::flapInterval;
    recovery.hold = flaps ? internal::doubled(recovery.hold) : internal::firstHold;
    recovery.holdUntil = now + recovery.hold;
    recovery.probesPassed = 0;
    recovery.ramping = false;
}

bool takeProbe(Recovery& recovery, MonotonicTime now)
{
    if (now < recovery.holdUntil || now - recovery.probedAt < internal::probeInterval)
        return false;
    recovery.probedAt = now;
    return true;
}

void countProbe(Recovery& recovery, bool passed, MonotonicTime now)
{
    if (passed) {
        ++recovery.probesPassed;
        return;
    }
    recovery.probesPassed = 0;
    recovery.hold = internal::doubled(recovery.hold);
    recovery.holdUntil = now + recovery.hold;
}

bool passedProbes(const Recovery& recovery) { return recovery.probesPassed >= internal::probesForReturn; }

void beginReturn(Recovery& recovery, bool ramp, MonotonicTime now)
{
    recovery.everReturned = true;
    recovery.returnedAt = now;
    recovery.rampFrom = now;
    recovery.ramping = ramp;
    recovery.probesPassed = 0;
}

void beginColdStart(Recovery& recovery, MonotonicTime now)
{
    recovery.rampFrom = now;
    recovery.ramping = true;
}

Percent shareAt(const Recovery& recovery, MonotonicTime now)
{
    constexpr int whole = 100;
    if (!recovery.ramping)
        return { whole };
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - recovery.rampFrom);
    if (elapsed >= internal::rampDuration)
        return { whole };
    const auto grown = static_cast<int>((whole - firstShare.value) * elapsed / internal::rampDuration);
    return { firstShare.value + grown / internal::shareStep * internal::shareStep };
}

} // namespace lacewingsail
