#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cmath>

namespace lacewingsail {

namespace internal {

    // Weight of a server in another availability zone: about a third of the requests leave one of three equal zones when all servers
    // are equally free, which keeps the sight of the far ones fresh.
    constexpr double farWeight = 0.25;
    constexpr double warmupWeight = 0.3;
    // Preference for a server whose slots are all busy, against an empty one. In the replay with a sight of half a second
    // (LocalPlacementSimulationTest) 0.3 leaves fewer requests in queues, but on the bench, where servers differ in speed, it served
    // no better.
    constexpr double fullRoom = 0.1;
    // Outcomes below this are too few to call a server failing.
    constexpr double leastOutcomes = 2;
    // Share of failures from which a server counts as failing; twenty times the users' base rate of errors.
    constexpr double failingShare = 0.3;
    // What a failing server still gets of the requests that may be repeated, so that its recovery is seen.
    constexpr double trialWeight = 0.06;
    // The same for a suspect server: its first success or further failure should be seen within about a second.
    constexpr double suspectWeight = 0.15;
    // Failures weigh this many times: two servers at 0 and 20 percent differ by more than their success rates.
    constexpr double failurePower = 6;

    bool isFailing(const PlacementCandidate& server)
    {
        return server.sampleCount >= leastOutcomes && server.failureRate >= failingShare;
    }

    double capacity(const PlacementCandidate& server)
    {
        return server.slots.value / std::max(server.latencyRatio, 1.0);
    }

    bool mayServe(const PlacementCandidate& server)
    {
        return !server.alreadyTried && !server.overloaded && !server.unreachable;
    }

    double weightOf(const PlacementCandidate& server, const PlacementConstraints& terms, bool avoidFailing)
    {
        if (!mayServe(server) || server.load >= terms.maxLoadPerSlot * capacity(server))
            return 0;
        const double fill = server.load / capacity(server);
        // Linear in the free share: the load is as old as a request lasts, so that a steeper preference would send all hosts
        // to the servers that were empty a moment ago. Beyond its slots a server is hardly chosen while others have free ones.
        const double room = fill < 1 ? fullRoom + (1 - fullRoom) * (1 - fill) : fullRoom / (fill * fill);
        double weight = capacity(server) * room;
        weight *= std::pow(1 - std::min(server.failureRate, 0.95) * (server.sampleCount / (server.sampleCount + 1)), failurePower);
        if (!server.sameZone)
            weight *= farWeight;
        if (server.warmingUp)
            weight *= warmupWeight;
        if (server.suspected && !terms.allowSuspected) {
            if (!terms.canRetry)
                return 0;
            weight *= suspectWeight;
        }
        if (avoidFailing && isFailing(server))
            return terms.canRetry ? weight * trialWeight : 0;
        return weight;
    }

    // Failing servers are avoided unless too few would be left.
    bool mayAvoidFailing(std::span<const PlacementCandidate> servers, double floorShare)
    {
        const auto failing = std::ranges::count_if(servers, isFailing);
        return static_cast<double>(failing) <= (1 - floorShare) * static_cast<double>(servers.size());
    }

} // namespace internal

std::optional<std::size_t> chooseWeighted(std::span<const PlacementCandidate> servers, const PlacementConstraints& terms, double random)
{
    const bool avoidFailing = internal::mayAvoidFailing(servers, terms.floorShare);
    double sum = 0;
    for (const PlacementCandidate& server : servers)
        sum += internal::weightOf(server, terms, avoidFailing);
    if (sum <= 0)
        return std::nullopt;
    double position = random * sum;
    std::optional<std::size_t> last;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        const double weight = internal::weightOf(servers[index], terms, avoidFailing);
        if (weight <= 0)
            continue;
        last = index;
        position -= weight;
        if (position < 0)
            break;
    }
    return last;
}

} // namespace lacewingsail
