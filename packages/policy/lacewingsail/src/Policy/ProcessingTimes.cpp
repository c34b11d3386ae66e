#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cmath>

namespace lacewingsail {

namespace internal {

    using Seconds = std::chrono::duration<double>;

    // Used for a kind of request that has not been answered yet: operators set latency objectives of about three times the
    // processing time.
    constexpr double defaultObjectiveShare = 0.3;
    // Used for routes without a latency objective.
    constexpr Seconds defaultProcessingTime { 0.35 };
    constexpr Seconds minProcessingTime { 0.001 };
    // Of the mean; used until there are outcomes.
    constexpr double defaultDeviationShare = 0.3;
    constexpr double sampleWeight = 0.05;
    // The first outcomes of a route weigh more, as if there had been this many before.
    constexpr double assumedSamples = 8;
    // Longer samples count as this many times the average, so that one slow server does not change it.
    constexpr double maxSampleRatio = 3;
    constexpr std::size_t maxKinds = 512;
    constexpr std::chrono::seconds forgottenAfter { 30 };
    constexpr std::chrono::seconds forgettingInterval { 1 };

    UsualWork defaultWork(std::chrono::milliseconds objective)
    {
        const Seconds mean = objective.count() > 0 ? Seconds(objective) * defaultObjectiveShare : defaultProcessingTime;
        return { mean, mean * defaultDeviationShare, 0, {} };
    }

    UsualWork workOfObjective(const ProcessingTimes& times, std::chrono::milliseconds objective)
    {
        const auto found = times.byObjective.find(objective);
        return found != times.byObjective.end() ? found->second : defaultWork(objective);
    }

    UsualWork usualWork(const ProcessingTimes& times, WorkKind kind, std::chrono::milliseconds objective)
    {
        const auto found = times.byKind.find(kind.value);
        return kind.value != 0 && found != times.byKind.end() ? found->second : workOfObjective(times, objective);
    }

    Seconds bounded(Seconds time, std::chrono::milliseconds objective) { return objective.count() > 0 ? std::min(time, Seconds(objective)) : time; }

    // Averages of observations: a correction by the ratio to what was forecast at the placement would be an integrator with the
    // delay of the request, which is unstable at many outcomes per second.
    void record(UsualWork& work, std::chrono::milliseconds objective, Seconds sample, double weight, MonotonicTime now)
    {
        // What is taken for usual exceeds no objective, so that samples move it at once.
        work.mean = bounded(work.mean, objective);
        const Seconds counted = std::min(sample, work.mean * maxSampleRatio);
        work.deviation += (std::chrono::abs(counted - work.mean) - work.deviation) * weight;
        work.mean = std::max(work.mean + (counted - work.mean) * weight, minProcessingTime);
        work.samples += work.samples < assumedSamples / sampleWeight ? 1 : 0;
        work.updatedAt = now;
    }

    UsualWork& workOfKind(ProcessingTimes& times, WorkKind kind, std::chrono::milliseconds objective)
    {
        const auto found = times.byKind.find(kind.value);
        if (found != times.byKind.end())
            return found->second;
        if (times.byKind.size() >= maxKinds)
            times.byKind.erase(std::ranges::min_element(times.byKind, {}, [](const auto& entry) { return entry.second.updatedAt; }));
        UsualWork work = workOfObjective(times, objective);
        work.samples = 0;
        return times.byKind.emplace(kind.value, work).first->second;
    }

} // namespace internal

WorkKind workKind(const RouteId& route) { return { route.value().empty() ? 0 : std::max<std::uint64_t>(stableHash(route.value()), 1) }; }

std::chrono::duration<double> usualProcessingTime(const ProcessingTimes& times, WorkKind kind, std::chrono::milliseconds latencyObjective)
{
    return internal::bounded(internal::usualWork(times, kind, latencyObjective).mean, latencyObjective);
}

std::chrono::duration<double> cautiousProcessingTime(const ProcessingTimes& times, WorkKind kind, std::chrono::milliseconds latencyObjective)
{
    const UsualWork work = internal::usualWork(times, kind, latencyObjective);
    return internal::bounded(work.mean + work.deviation, latencyObjective);
}

void recordProcessingTime(ProcessingTimes& times, WorkKind kind, std::chrono::milliseconds latencyObjective, std::chrono::duration<double> sample, MonotonicTime now)
{
    if (kind.value != 0) {
        UsualWork& work = internal::workOfKind(times, kind, latencyObjective);
        internal::record(work, latencyObjective, sample, std::max(internal::sampleWeight, 1 / (internal::assumedSamples + work.samples)), now);
    }
    UsualWork& ofObjective = times.byObjective.try_emplace(latencyObjective, internal::defaultWork(latencyObjective)).first->second;
    internal::record(ofObjective, latencyObjective, sample, internal::sampleWeight, now);
}

void forgetUnusedKinds(ProcessingTimes& times, MonotonicTime now)
{
    if (now - times.lastForgottenAt < internal::forgettingInterval)
        return;
    times.lastForgottenAt = now;
    const auto isUnused = [now](const auto& entry) { return now - entry.second.updatedAt >= internal::forgottenAfter; };
    std::erase_if(times.byKind, isUnused);
    std::erase_if(times.byObjective, isUnused);
}

} // namespace lacewingsail
