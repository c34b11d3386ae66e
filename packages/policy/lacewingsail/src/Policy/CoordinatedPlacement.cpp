#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cmath>

namespace lacewingsail {

namespace internal {

    using Seconds = std::chrono::duration<double>;

    // Taken for requests of a kind that has not been answered yet: the middle of the users' sheets.
    constexpr Seconds assumedWork { 0.35 };
    // A reported load is mostly chance after this long: requests last about as long.
    constexpr Seconds reportHalfLife { 1.0 };
    constexpr double reportWeight = 0.4;
    // Slow spells last for several seconds.
    constexpr Seconds slownessHalfLife { 4.0 };
    constexpr double slownessWeight = 0.25;
    constexpr double mostSlowness = 20;
    constexpr double workWeight = 0.05;
    // A server that has just started is slower than others by about this, until its answers tell.
    constexpr double warmupSlowness = 1.6;
    // Servers slow down by up to about this part as their slots fill (users' pages: "some slow down when nearly full").
    constexpr double fullSlowdown = 0.2;
    constexpr std::chrono::milliseconds fullBackOff { 200 };
    // Share of the slots that requests with time to spare may take: one slot of the users' six stays free.
    constexpr double patientFill = 0.85;
    // A request has time to spare while this much is left of its objective beyond half as long again as its work.
    constexpr Seconds patientSlack { 1.0 };
    constexpr double workMargin = 1.5;
    // Benefit that is lost when a request takes as long as its objective; it grows with the square of the time, and the
    // users' sheets give 0.3 of the benefit for any later answer.
    constexpr double lateLoss = 0.35;
    constexpr double mostLateLoss = 1.4;
    // A further attempt costs time and part of the retry budget.
    constexpr double repeatLoss = 0.25;
    // Below this the server is as good as any.
    constexpr double leastDoubt = 0.06;
    // From this on it gets no request that a failure would lose: two failures in a row.
    constexpr double doubted = 0.6;
    // Part of a cell's servers whose doubts are believed at once; if more seem to fail, the evidence itself is in doubt, or
    // refusing would lose more than they do. Trials go on in either case, so that no server is out of use.
    constexpr double mostAvoided = 0.5;
    // Between two trials of a server in doubt; longer the surer a spell is.
    constexpr Seconds trialInterval { 0.25 };
    constexpr double sureTrialFactor = 3;
    // A server without requests is tried after this: operators count one that gets none for 2 s as taken out of use.
    constexpr Seconds longestRest { 1.0 };
    // Ties are broken by a few parts in a hundred, so that equal servers share.
    constexpr double tieShare = 0.05;
    constexpr std::chrono::milliseconds lapseMargin { 200 };

    double fading(Seconds elapsed, Seconds halfLife) { return std::exp2(-elapsed / halfLife); }

    Seconds workOf(const ProcessingTimes& works, std::chrono::milliseconds objective)
    {
        const auto found = works.find(objective);
        return found == works.end() ? assumedWork : found->second;
    }

    double slownessOf(const TrackedServer& server, MonotonicTime now)
    {
        const double faded = 1 + (server.latencyRatio - 1) * fading(now - server.latencyRatioUpdatedAt, slownessHalfLife);
        const double known = !server.hasAnswered && now < server.warmupEndsAt ? std::max(faded, warmupSlowness) : faded;
        // Requests that are still under way tell of a slowdown before they end.
        double sum = 0;
        for (const InFlightPlacement& open : server.inFlightPlacements)
            sum += std::max(1.0, (now - open.placedAt) / open.expectedDuration);
        return server.inFlightPlacements.empty() ? known : std::max(known, sum / static_cast<double>(server.inFlightPlacements.size()));
    }

    // Expected time over that on an empty server of the usual speed.
    double crowding(const TrackedServer& server, double load)
    {
        const double slots = server.registration.slots.value;
        const double fill = std::min(load / slots, 1.0);
        return 1 + fullSlowdown * fill * fill + std::max(0.0, load + 1 - slots) / slots;
    }

    bool isExcluded(const TrackedServer& server, const PlacementDemand& demand, MonotonicTime now)
    {
        return now < server.overloadedUntil || std::ranges::find(demand.excludedServers, server.registration.id) != demand.excludedServers.end();
    }

    bool isTrialDue(const TrackedServer& server, double chance, MonotonicTime now)
    {
        const Seconds rested = now - server.lastPlacedAt;
        return rested >= longestRest || (chance >= leastDoubt && rested >= trialInterval * (1 + sureTrialFactor * chance));
    }

    double lossOf(const PlacementDemand& demand, double chance, Seconds time)
    {
        const double lateness = demand.latencyObjective.count() > 0 ? time / Seconds(demand.latencyObjective) : time.count();
        return (demand.canRetry ? repeatLoss : 1) * expectedFailureRate(chance) + std::min(lateLoss * lateness * lateness, mostLateLoss);
    }

    bool mayAvoidDoubted(std::span<TrackedServer* const> servers, MonotonicTime now)
    {
        const auto count = std::ranges::count_if(servers, [now](const TrackedServer* server) { return grayFailureProbability(server->failureEstimate, now) >= doubted; });
        return static_cast<double>(count) <= mostAvoided * static_cast<double>(servers.size());
    }

    void dropLapsed(TrackedServer& server, MonotonicTime now)
    {
        std::erase_if(server.inFlightPlacements, [now](const InFlightPlacement& open) { return now >= open.expiresAt; });
    }

    void noteReported(TrackedServer& server, double reported, MonotonicTime now)
    {
        const double beyond = reported - static_cast<double>(server.inFlightPlacements.size());
        const double before = server.untrackedLoad * fading(now - server.untrackedLoadUpdatedAt, reportHalfLife);
        server.untrackedLoad = before + (beyond - before) * reportWeight;
        server.untrackedLoadUpdatedAt = now;
    }

    void noteTime(TrackedServer& server, ProcessingTimes& works, const InFlightPlacement& placed, Seconds took, MonotonicTime now)
    {
        const double ratio = std::clamp(took / placed.expectedDuration, 0.1, mostSlowness);
        const double before = 1 + (server.latencyRatio - 1) * fading(now - server.latencyRatioUpdatedAt, slownessHalfLife);
        server.latencyRatio = before + (ratio - before) * slownessWeight;
        server.latencyRatioUpdatedAt = now;
        const Seconds usual = workOf(works, placed.latencyObjective);
        // One slow server must not change what is usual.
        works[placed.latencyObjective] = usual * (1 + workWeight * (std::min(ratio, 3.0) - 1));
    }

} // namespace internal

double estimatedLoad(const TrackedServer& server, MonotonicTime now)
{
    const double untrackedLoad = server.untrackedLoad * internal::fading(now - server.untrackedLoadUpdatedAt, internal::reportHalfLife);
    return std::max(0.0, static_cast<double>(server.inFlightPlacements.size()) + untrackedLoad);
}

std::optional<PlacementChoice> chooseServer(std::span<TrackedServer* const> servers, const PlacementDemand& demand, const ProcessingTimes& works, MonotonicTime now, double random)
{
    const bool avoidDoubted = internal::mayAvoidDoubted(servers, now);
    std::optional<PlacementChoice> best;
    double least = 0;
    const internal::Seconds work = internal::workOf(works, demand.latencyObjective);
    for (std::size_t index = 0; index < servers.size(); ++index) {
        TrackedServer& server = *servers[index];
        internal::dropLapsed(server, now);
        if (internal::isExcluded(server, demand, now))
            continue;
        const double load = estimatedLoad(server, now);
        const internal::Seconds time = work * internal::slownessOf(server, now) * internal::crowding(server, load);
        if (load + 1 > demand.maxLoadPerSlot * server.registration.slots.value || time >= demand.timeToDeadline)
            continue;
        const double chance = grayFailureProbability(server.failureEstimate, now);
        const double loss = internal::lossOf(demand, chance, time);
        if (demand.canRetry && internal::isTrialDue(server, chance, now))
            return PlacementChoice { index, loss, (load + 1) / server.registration.slots.value };
        if (avoidDoubted && chance >= internal::doubted)
            continue;
        // Successive multiples of an irrational number spread evenly: one random number serves all servers.
        constexpr double golden = 0.6180339887498949;
        const double varied = loss * (1 + internal::tieShare * std::fmod(random + golden * static_cast<double>(index), 1.0));
        if (!best || varied < least) {
            best = PlacementChoice { index, loss, (load + 1) / server.registration.slots.value };
            least = varied;
        }
    }
    return best;
}

bool shouldWaitForSlot(const PlacementDemand& demand, const ProcessingTimes& works, double fill)
{
    const internal::Seconds slack = demand.latencyObjective - demand.age - internal::workMargin * internal::workOf(works, demand.latencyObjective);
    return fill > internal::patientFill && slack > internal::patientSlack;
}

void addPlacement(TrackedServer& server, const PlacementDemand& demand, const ProcessingTimes& works, std::uint64_t number, MonotonicTime now)
{
    server.lastPlacedAt = now;
    const internal::Seconds expected = internal::workOf(works, demand.latencyObjective) * internal::crowding(server, estimatedLoad(server, now));
    server.inFlightPlacements.push_back({ number, now, now + demand.timeToDeadline + internal::lapseMargin, expected, demand.latencyObjective, demand.isRetry });
}

std::optional<InFlightPlacement> finishPlacement(TrackedServer& server, ProcessingTimes& works, const PlacementOutcome& outcome, MonotonicTime now)
{
    const auto found = std::ranges::find(server.inFlightPlacements, outcome.placementId, &InFlightPlacement::id);
    const auto placed = found != server.inFlightPlacements.end() ? std::optional(*found) : std::nullopt;
    if (placed)
        server.inFlightPlacements.erase(found);
    if (outcome.reportedLoad)
        internal::noteReported(server, *outcome.reportedLoad, now);
    switch (outcome.status) {
    case PlacementStatus::Succeeded:
        server.hasAnswered = true;
        recordOutcome(server.failureEstimate, false, now);
        if (placed)
            internal::noteTime(server, works, *placed, outcome.duration, now);
        break;
    case PlacementStatus::Failed:
        server.hasAnswered = true;
        recordOutcome(server.failureEstimate, true, now);
        break;
    case PlacementStatus::Refused:
        server.hasAnswered = true;
        // A server that refuses although it has free slots is failing in its own way.
        if (estimatedLoad(server, now) < server.registration.slots.value)
            recordUnreachable(server.failureEstimate, now);
        else
            server.overloadedUntil = now + internal::fullBackOff;
        break;
    case PlacementStatus::Unreachable:
        recordUnreachable(server.failureEstimate, now);
        break;
    case PlacementStatus::Cancelled:
        break;
    }
    return placed;
}

} // namespace lacewingsail
