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

    Seconds workOf(const WorkTimes& works, std::chrono::milliseconds objective)
    {
        const auto found = works.find(objective);
        return found == works.end() ? assumedWork : found->second;
    }

    double slownessOf(const KeptServer& server, MonotonicTime now)
    {
        const double faded = 1 + (server.slowness - 1) * fading(now - server.slownessAt, slownessHalfLife);
        const double known = !server.answered && now < server.warmUntil ? std::max(faded, warmupSlowness) : faded;
        // Requests that are still under way tell of a slowdown before they end.
        double sum = 0;
        for (const OpenPlacement& open : server.open)
            sum += std::max(1.0, (now - open.placedAt) / open.expected);
        return server.open.empty() ? known : std::max(known, sum / static_cast<double>(server.open.size()));
    }

    // Expected time over that on an empty server of the usual speed.
    double crowding(const KeptServer& server, double load)
    {
        const double slots = server.server.slots.value;
        const double fill = std::min(load / slots, 1.0);
        return 1 + fullSlowdown * fill * fill + std::max(0.0, load + 1 - slots) / slots;
    }

    bool isExcluded(const KeptServer& server, const PlacementDemand& demand, MonotonicTime now)
    {
        return now < server.fullUntil || std::ranges::find(demand.excluded, server.server.id) != demand.excluded.end();
    }

    bool isTrialDue(const KeptServer& server, double chance, MonotonicTime now)
    {
        const Seconds rested = now - server.placedAt;
        return rested >= longestRest || (chance >= leastDoubt && rested >= trialInterval * (1 + sureTrialFactor * chance));
    }

    double lossOf(const PlacementDemand& demand, double chance, Seconds time)
    {
        const double lateness = demand.objective.count() > 0 ? time / Seconds(demand.objective) : time.count();
        return (demand.expendable ? repeatLoss : 1) * failureShare(chance) + std::min(lateLoss * lateness * lateness, mostLateLoss);
    }

    bool mayAvoidDoubted(std::span<KeptServer* const> servers, MonotonicTime now)
    {
        const auto count = std::ranges::count_if(servers, [now](const KeptServer* server) { return spellChance(server->odds, now) >= doubted; });
        return static_cast<double>(count) <= mostAvoided * static_cast<double>(servers.size());
    }

    void dropLapsed(KeptServer& server, MonotonicTime now)
    {
        std::erase_if(server.open, [now](const OpenPlacement& open) { return now >= open.lapsesAt; });
    }

    void noteReported(KeptServer& server, double reported, MonotonicTime now)
    {
        const double beyond = reported - static_cast<double>(server.open.size());
        const double before = server.unplaced * fading(now - server.unplacedAt, reportHalfLife);
        server.unplaced = before + (beyond - before) * reportWeight;
        server.unplacedAt = now;
    }

    void noteTime(KeptServer& server, WorkTimes& works, const OpenPlacement& placed, Seconds took, MonotonicTime now)
    {
        const double ratio = std::clamp(took / placed.expected, 0.1, mostSlowness);
        const double before = 1 + (server.slowness - 1) * fading(now - server.slownessAt, slownessHalfLife);
        server.slowness = before + (ratio - before) * slownessWeight;
        server.slownessAt = now;
        const Seconds usual = workOf(works, placed.objective);
        // One slow server must not change what is usual.
        works[placed.objective] = usual * (1 + workWeight * (std::min(ratio, 3.0) - 1));
    }

} // namespace internal

double loadOf(const KeptServer& server, MonotonicTime now)
{
    const double unplaced = server.unplaced * internal::fading(now - server.unplacedAt, internal::reportHalfLife);
    return std::max(0.0, static_cast<double>(server.open.size()) + unplaced);
}

std::optional<KeptChoice> chooseKept(std::span<KeptServer* const> servers, const PlacementDemand& demand, const WorkTimes& works, MonotonicTime now, double random)
{
    const bool avoidDoubted = internal::mayAvoidDoubted(servers, now);
    std::optional<KeptChoice> best;
    double least = 0;
    const internal::Seconds work = internal::workOf(works, demand.objective);
    for (std::size_t index = 0; index < servers.size(); ++index) {
        KeptServer& server = *servers[index];
        internal::dropLapsed(server, now);
        if (internal::isExcluded(server, demand, now))
            continue;
        const double load = loadOf(server, now);
        const internal::Seconds time = work * internal::slownessOf(server, now) * internal::crowding(server, load);
        if (load + 1 > demand.mostFill * server.server.slots.value || time >= demand.term)
            continue;
        const double chance = spellChance(server.odds, now);
        const double loss = internal::lossOf(demand, chance, time);
        if (demand.expendable && internal::isTrialDue(server, chance, now))
            return KeptChoice { index, loss, (load + 1) / server.server.slots.value };
        if (avoidDoubted && chance >= internal::doubted)
            continue;
        // Successive multiples of an irrational number spread evenly: one random number serves all servers.
        constexpr double golden = 0.6180339887498949;
        const double varied = loss * (1 + internal::tieShare * std::fmod(random + golden * static_cast<double>(index), 1.0));
        if (!best || varied < least) {
            best = KeptChoice { index, loss, (load + 1) / server.server.slots.value };
            least = varied;
        }
    }
    return best;
}

bool isToWait(const PlacementDemand& demand, const WorkTimes& works, double fill)
{
    const internal::Seconds slack = demand.objective - demand.waited - internal::workMargin * internal::workOf(works, demand.objective);
    return fill > internal::patientFill && slack > internal::patientSlack;
}

void place(KeptServer& server, const PlacementDemand& demand, const WorkTimes& works, std::uint64_t number, MonotonicTime now)
{
    server.placedAt = now;
    const internal::Seconds expected = internal::workOf(works, demand.objective) * internal::crowding(server, loadOf(server, now));
    server.open.push_back({ number, now, now + demand.term + internal::lapseMargin, expected, demand.objective, demand.repeat });
}

std::optional<OpenPlacement> settle(KeptServer& server, WorkTimes& works, const PlacementOutcome& outcome, MonotonicTime now)
{
    const auto found = std::ranges::find(server.open, outcome.number, &OpenPlacement::number);
    const auto placed = found != server.open.end() ? std::optional(*found) : std::nullopt;
    if (placed)
        server.open.erase(found);
    if (outcome.reportedLoad)
        internal::noteReported(server, *outcome.reportedLoad, now);
    switch (outcome.end) {
    case PlacementEnd::Served:
        server.answered = true;
        noteOutcome(server.odds, false, now);
        if (placed)
            internal::noteTime(server, works, *placed, outcome.took, now);
        break;
    case PlacementEnd::Failed:
        server.answered = true;
        noteOutcome(server.odds, true, now);
        break;
    case PlacementEnd::Refused:
        server.answered = true;
        // A server that refuses although it has free slots is failing in its own way.
        if (loadOf(server, now) < server.server.slots.value)
            noteUnreached(server.odds, now);
        else
            server.fullUntil = now + internal::fullBackOff;
        break;
    case PlacementEnd::Unreached:
        noteUnreached(server.odds, now);
        break;
    case PlacementEnd::Void:
        break;
    }
    return placed;
}

} // namespace lacewingsail
