#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::seconds initialHold { 2 };
    constexpr std::chrono::seconds maxHold { 120 };
    constexpr std::chrono::seconds flapWindow { 60 };
    constexpr std::chrono::milliseconds probeInterval { 300 };
    constexpr std::chrono::milliseconds warmupDuration { 5000 };
    constexpr int requiredProbes = 3;
    constexpr int shareStep = 10;

    Duration doubledHold(Duration hold) { return std::clamp<Duration>(hold * 2, initialHold, maxHold); }

} // namespace internal

void beginHold(Recovery& recovery, MonotonicTime now)
{
    const bool isFlapping = recovery.hasReturned && now - recovery.returnedAt < internal::flapWindow;
    recovery.holdDuration = isFlapping ? internal::doubledHold(recovery.holdDuration) : internal::initialHold;
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
    recovery.holdDuration = internal::doubledHold(recovery.holdDuration);
    recovery.holdUntil = now + recovery.holdDuration;
}

bool hasPassedProbes(const Recovery& recovery) { return recovery.probesPassed >= internal::requiredProbes; }

void beginReturn(Recovery& recovery, bool warmup, MonotonicTime now)
{
    recovery.hasReturned = true;
    recovery.returnedAt = now;
    recovery.warmupStartedAt = now;
    recovery.warmingUp = warmup;
    recovery.probesPassed = 0;
}

void beginWarmup(Recovery& recovery, MonotonicTime now)
{
    recovery.warmupStartedAt = now;
    recovery.warmingUp = true;
}

Percent warmupShare(const Recovery& recovery, MonotonicTime now)
{
    constexpr int fullShare = 100;
    if (!recovery.warmingUp)
        return { fullShare };
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - recovery.warmupStartedAt);
    if (elapsed >= internal::warmupDuration)
        return { fullShare };
    const auto increase = static_cast<int>((fullShare - initialWarmupShare.value) * elapsed / internal::warmupDuration);
    return { initialWarmupShare.value + increase / internal::shareStep * internal::shareStep };
}

} // namespace lacewingsail
