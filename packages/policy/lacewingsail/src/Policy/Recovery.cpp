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
    const bool flaps = recovery.hasReturned && now - recovery.returnedAt < internal::flapInterval;
    recovery.holdDuration = flaps ? internal::doubled(recovery.holdDuration) : internal::firstHold;
    recovery.holdUntil = now + recovery.holdDuration;
    recovery.probesPassed = 0;
    recovery.warmingUp = false;
}

bool tryStartProbe(Recovery& recovery, MonotonicTime now)
{
    if (now < recovery.holdUntil || now - recovery.lastProbeAt < internal::probeInterval)
        return false;
    recovery.lastProbeAt = now;
    return true;
}

void recordProbe(Recovery& recovery, bool passed, MonotonicTime now)
{
    if (passed) {
        ++recovery.probesPassed;
        return;
    }
    recovery.probesPassed = 0;
    recovery.holdDuration = internal::doubled(recovery.holdDuration);
    recovery.holdUntil = now + recovery.holdDuration;
}

bool hasPassedProbes(const Recovery& recovery) { return recovery.probesPassed >= internal::probesForReturn; }

void beginReturn(Recovery& recovery, bool ramp, MonotonicTime now)
{
    recovery.hasReturned = true;
    recovery.returnedAt = now;
    recovery.warmupStartedAt = now;
    recovery.warmingUp = ramp;
    recovery.probesPassed = 0;
}

void beginWarmup(Recovery& recovery, MonotonicTime now)
{
    recovery.warmupStartedAt = now;
    recovery.warmingUp = true;
}

Percent warmupShare(const Recovery& recovery, MonotonicTime now)
{
    constexpr int whole = 100;
    if (!recovery.warmingUp)
        return { whole };
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - recovery.warmupStartedAt);
    if (elapsed >= internal::rampDuration)
        return { whole };
    const auto grown = static_cast<int>((whole - initialWarmupShare.value) * elapsed / internal::rampDuration);
    return { initialWarmupShare.value + grown / internal::shareStep * internal::shareStep };
}

} // namespace lacewingsail
