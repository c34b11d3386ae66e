#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewingsail {

namespace internal {

    using Seconds = std::chrono::duration<double>;

    // Requests last about this long, so that an older reported load says little about the current one.
    constexpr Seconds untrackedLoadHalfLife { 1.0 };
    constexpr double untrackedLoadWeight = 0.4;
    // Periods of high latency last for several seconds.
    constexpr Seconds latencyRatioHalfLife { 4.0 };
    constexpr double latencyRatioWeight = 0.25;
    constexpr double maxLatencyRatio = 20;
    // A server that has just started is slower than others by about this factor; used until it has answered a request.
    constexpr double warmupLatencyRatio = 1.6;
    // Servers slow down by up to about this share as their slots fill up (platform documentation: "some slow down when nearly
    // full").
    constexpr double fullLoadSlowdown = 0.2;
    constexpr std::chrono::milliseconds overloadBackOff { 200 };
    // Maximum requests per slot for a request that can wait: leaves one of the six slots of the platform's servers free.
    constexpr double maxDeferrableLoadPerSlot = 0.85;
    // A request can wait while more than this is left until its latency objective, after processingTimeMargin times its
    // processing time.
    constexpr Seconds minDeferrableSlack { 1.0 };
    constexpr double processingTimeMargin = 1.5;
    // Share of the value that is lost when a request takes as long as its latency objective. The loss grows with the square of
    // the time; by the platform's specification an answer after the objective has 0.3 of the value.
    constexpr double lossAtObjective = 0.35;
    constexpr double maxLatencyLoss = 1.4;
    // Loss by a failure that can be retried: the retry takes time and part of the retry budget.
    constexpr double retryableFailureLoss = 0.25;
    // Below this probability of a gray failure a server is probed only after maxIdleTime.
    constexpr double minProbedProbability = 0.06;
    // From this probability on, reached by two failures in a row, a server gets no request that cannot be retried.
    constexpr double avoidedProbability = 0.6;
    // Maximum share of a cell's servers that is avoided at once. If more seem to fail, either the evidence is wrong, or refusing
    // requests would lose more than the failures. Probes go on in either case, so that no server is out of use.
    constexpr double maxAvoidedShare = 0.5;
    // Time between two probes of a suspected server; grows with the probability of a gray failure.
    constexpr Seconds probeInterval { 0.25 };
    constexpr double probeIntervalGrowth = 3;
    // An idle server is probed after this time: operators count a server without requests for 2 s as taken out of use.
    constexpr Seconds maxIdleTime { 1.0 };
    // Requests that cannot be retried probe an idle server only if no others did.
    constexpr Seconds maxIdleTimeUnretryable { 1.5 };
    // Random variation of the loss, so that equal servers share the requests.
    constexpr double tieBreakShare = 0.05;
    constexpr std::chrono::milliseconds expiryMargin { 200 };
    // Bounds the requests that wait at a server, per slot, however short they are.
    constexpr double maxWaitingPerSlot = 0.5;
    // Callers repeat an outcome that was not acknowledged for less than this.
    constexpr std::chrono::seconds recentPlacementsPeriod { 10 };

    double decayFactor(Seconds elapsed, Seconds halfLife) { return std::exp2(-elapsed / halfLife); }

    double currentLatencyRatio(const TrackedServer& server, const ProcessingTimes& processingTimes, MonotonicTime now)
    {
        const double decayed = 1 + (server.latencyRatio - 1) * decayFactor(now - server.latencyRatioUpdatedAt, latencyRatioHalfLife);
        const double known = !server.hasAnswered && now < server.warmupEndsAt ? std::max(decayed, warmupLatencyRatio) : decayed;
        // In-flight requests that are overdue show a slowdown before they end.
        double sum = 0;
        for (const InFlightPlacement& placement : server.inFlightPlacements)
            sum += std::clamp((now - placement.placedAt) / (usualProcessingTime(processingTimes, placement.kind, placement.latencyObjective) * placement.congestionFactor), 1.0, maxLatencyRatio);
        return server.inFlightPlacements.empty() ? known : std::max(known, sum / static_cast<double>(server.inFlightPlacements.size()));
    }

    // Ratio of the expected time to that on an empty server of the usual speed.
    double congestionFactor(const TrackedServer& server, double load)
    {
        const double slots = server.registration.slots.value;
        const double loadPerSlot = std::min(load / slots, 1.0);
        return 1 + fullLoadSlowdown * loadPerSlot * loadPerSlot + std::max(0.0, load + 1 - slots) / slots;
    }

    bool isExcluded(const TrackedServer& server, const PlacementDemand& demand, MonotonicTime now)
    {
        return server.leaving || server.coldRateBinds || now < server.overloadedUntil || std::ranges::find(demand.excludedServers, server.registration.id) != demand.excludedServers.end();
    }

    bool isProbeDue(const TrackedServer& server, const PlacementDemand& demand, double probability, MonotonicTime now)
    {
        const Seconds idleTime = now - server.lastPlacedAt;
        if (!demand.canRetry)
            return probability < minProbedProbability && idleTime >= maxIdleTimeUnretryable && server.inFlightPlacements.empty();
        return idleTime >= maxIdleTime || (probability >= minProbedProbability && idleTime >= probeInterval * (1 + probeIntervalGrowth * probability));
    }

    double expectedLoss(const PlacementDemand& demand, double probability, Seconds time)
    {
        const double lateness = demand.latencyObjective.count() > 0 ? time / Seconds(demand.latencyObjective) : time.count();
        return (demand.canRetry ? retryableFailureLoss : 1) * expectedFailureRate(probability) + std::min(lossAtObjective * lateness * lateness, maxLatencyLoss);
    }

    // A server works on while the outcomes of its last requests are on their way.
    double maxLoad(const TrackedServer& server, const PlacementDemand& demand, Seconds usualTime)
    {
        const double slots = server.registration.slots.value;
        if (demand.outcomeDelay.count() == 0)
            return demand.maxLoadPerSlot * slots;
        const double waiting = std::clamp(slots * (demand.outcomeDelay / usualTime), 1.0, std::max(1.0, slots * maxWaitingPerSlot));
        return std::min(demand.maxLoadPerSlot * slots, slots + waiting);
    }

    bool canAvoidSuspected(std::span<TrackedServer* const> servers, MonotonicTime now)
    {
        const auto count = std::ranges::count_if(servers, [now](const TrackedServer* server) { return grayFailureProbability(server->failureEstimate, now) >= avoidedProbability; });
        return static_cast<double>(count) <= maxAvoidedShare * static_cast<double>(servers.size());
    }

    void dropExpired(TrackedServer& server, MonotonicTime now)
    {
        std::erase_if(server.inFlightPlacements, [now](const InFlightPlacement& placement) { return now >= placement.expiresAt; });
    }

    void recordReportedLoad(TrackedServer& server, double reported, MonotonicTime now)
    {
        server.reportedLoad = reported;
        const double untracked = reported - static_cast<double>(server.inFlightPlacements.size());
        const double before = server.untrackedLoad * decayFactor(now - server.untrackedLoadUpdatedAt, untrackedLoadHalfLife);
        server.untrackedLoad = before + (untracked - before) * untrackedLoadWeight;
        server.untrackedLoadUpdatedAt = now;
    }

    void recordDuration(TrackedServer& server, ProcessingTimes& processingTimes, const InFlightPlacement& placed, Seconds duration, MonotonicTime now)
    {
        const Seconds usual = usualProcessingTime(processingTimes, placed.kind, placed.latencyObjective);
        const Seconds sample = duration / placed.congestionFactor;
        const double ratio = std::clamp(sample / usual, 0.1, maxLatencyRatio);
        const double before = 1 + (server.latencyRatio - 1) * decayFactor(now - server.latencyRatioUpdatedAt, latencyRatioHalfLife);
        server.latencyRatio = before + (ratio - before) * latencyRatioWeight;
        server.latencyRatioUpdatedAt = now;
        recordProcessingTime(processingTimes, placed.kind, placed.latencyObjective, sample, now);
    }

} // namespace internal

bool recordOnce(RecentPlacements& recent, std::uint64_t placementId, MonotonicTime now)
{
    if (now - recent.rotatedAt >= internal::recentPlacementsPeriod) {
        recent.olderIds = std::exchange(recent.ids, {});
        recent.rotatedAt = now;
    }
    return !wasRecorded(recent, placementId) && recent.ids.insert(placementId).second;
}

bool wasRecorded(const RecentPlacements& recent, std::uint64_t placementId) { return recent.ids.contains(placementId) || recent.olderIds.contains(placementId); }

CellBelief cellBelief(std::span<TrackedServer* const> servers, const PlacementDemand& demand, const ProcessingTimes& processingTimes, MonotonicTime now)
{
    CellBelief belief;
    belief.processingTime = std::chrono::duration_cast<std::chrono::milliseconds>(expectedProcessingTime(processingTimes, demand));
    for (const TrackedServer* server : servers) {
        belief.slots += server->registration.slots.value;
        belief.inFlight += server->inFlightPlacements.size();
        belief.estimatedLoad += estimatedLoad(*server, now);
        belief.reportedLoad += server->reportedLoad;
        belief.suspected += grayFailureProbability(server->failureEstimate, now) >= internal::avoidedProbability ? 1 : 0;
        belief.overloaded += now < server->overloadedUntil ? 1 : 0;
    }
    return belief;
}

double estimatedLoad(const TrackedServer& server, MonotonicTime now)
{
    const double untrackedLoad = server.untrackedLoad * internal::decayFactor(now - server.untrackedLoadUpdatedAt, internal::untrackedLoadHalfLife);
    return std::max(0.0, static_cast<double>(server.inFlightPlacements.size()) + untrackedLoad);
}

bool hasFreeSlot(const TrackedServer& server, MonotonicTime now) { return estimatedLoad(server, now) < server.registration.slots.value; }

std::optional<PlacementChoice> chooseServer(std::span<TrackedServer* const> servers, const PlacementDemand& demand, const ProcessingTimes& processingTimes, MonotonicTime now, double random)
{
    const bool avoidSuspected = internal::canAvoidSuspected(servers, now);
    std::optional<PlacementChoice> best;
    double lowestVariedLoss = 0;
    const internal::Seconds usualTime = expectedProcessingTime(processingTimes, demand);
    for (std::size_t index = 0; index < servers.size(); ++index) {
        TrackedServer& server = *servers[index];
        internal::dropExpired(server, now);
        if (internal::isExcluded(server, demand, now))
            continue;
        const double load = estimatedLoad(server, now);
        const internal::Seconds timeAtUsualSpeed = usualTime * internal::congestionFactor(server, load);
        if (load + 1 > internal::maxLoad(server, demand, usualTime) || timeAtUsualSpeed >= demand.timeToDeadline)
            continue;
        const internal::Seconds time = timeAtUsualSpeed * internal::currentLatencyRatio(server, processingTimes, now);
        const double probability = grayFailureProbability(server.failureEstimate, now);
        const double loss = internal::expectedLoss(demand, probability, time);
        // A probe goes out also if the server seems too slow: no other evidence could show that it no longer is.
        if (internal::isProbeDue(server, demand, probability, now))
            return PlacementChoice { index, loss, (load + 1) / server.registration.slots.value };
        if (time >= demand.timeToDeadline)
            continue;
        if (avoidSuspected && probability >= internal::avoidedProbability)
            continue;
        // Successive multiples of an irrational number are evenly spread, so that one random number suffices for all servers.
        constexpr double golden = 0.6180339887498949;
        const double variedLoss = loss * (1 + internal::tieBreakShare * std::fmod(random + golden * static_cast<double>(index), 1.0));
        if (!best || variedLoss < lowestVariedLoss) {
            best = PlacementChoice { index, loss, (load + 1) / server.registration.slots.value };
            lowestVariedLoss = variedLoss;
        }
    }
    return best;
}

std::chrono::duration<double> expectedProcessingTime(const ProcessingTimes& processingTimes, const PlacementDemand& demand) { return usualProcessingTime(processingTimes, workKind(demand.route), demand.latencyObjective); }

bool shouldWaitForSlot(const PlacementDemand& demand, const ProcessingTimes& processingTimes, double loadPerSlot)
{
    const internal::Seconds slack = demand.latencyObjective - demand.age - internal::processingTimeMargin * expectedProcessingTime(processingTimes, demand);
    return loadPerSlot > internal::maxDeferrableLoadPerSlot && slack > internal::minDeferrableSlack;
}

void addPlacement(TrackedServer& server, const PlacementDemand& demand, std::uint64_t placementId, MonotonicTime now)
{
    server.lastPlacedAt = now;
    server.inFlightPlacements.push_back({ placementId, now, now + demand.timeToDeadline + internal::expiryMargin, internal::congestionFactor(server, estimatedLoad(server, now)), workKind(demand.route), demand.latencyObjective, demand.isRetry });
}

std::optional<InFlightPlacement> finishPlacement(TrackedServer& server, ProcessingTimes& processingTimes, const PlacementOutcome& outcome, MonotonicTime now, double commonRefusedShare)
{
    const auto found = std::ranges::find(server.inFlightPlacements, outcome.placementId, &InFlightPlacement::id);
    const auto placed = found != server.inFlightPlacements.end() ? std::optional(*found) : std::nullopt;
    if (placed)
        server.inFlightPlacements.erase(found);
    // Without its placement an outcome may be that of an earlier incarnation.
    server.leaving = server.leaving || (placed && outcome.serverLeaving);
    if (outcome.reportedLoad)
        internal::recordReportedLoad(server, *outcome.reportedLoad, now);
    switch (outcome.status) {
    case PlacementStatus::Succeeded:
        server.hasAnswered = true;
        recordOutcome(server.failureEstimate, false, now);
        if (placed)
            internal::recordDuration(server, processingTimes, *placed, outcome.duration, now);
        break;
    case PlacementStatus::Failed:
        server.hasAnswered = true;
        recordOutcome(server.failureEstimate, true, now);
        break;
    case PlacementStatus::Refused:
        server.hasAnswered = true;
        // A refusal with free slots is a failure rather than overload, unless all servers refuse alike.
        if (hasFreeSlot(server, now))
            recordRefusalWithRoom(server.failureEstimate, commonRefusedShare, now);
        else
            server.overloadedUntil = now + internal::overloadBackOff;
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
