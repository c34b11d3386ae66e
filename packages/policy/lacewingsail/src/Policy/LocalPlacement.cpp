#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cmath>

namespace lacewingsail {

namespace internal {

    // Weight of a server in another availability zone. With three equal zones and equally free servers, about a third of the
    // requests leave the zone, which keeps what is known of remote servers up to date.
    constexpr double remoteZoneWeight = 0.25;
    constexpr double warmupWeight = 0.3;
    // Weight of a server whose slots are all busy, relative to an empty one. In the simulation with half a second of delay
    // (LocalPlacementSimulationTest), 0.3 leaves fewer requests in queues; in the benchmark, where servers differ in speed, it
    // was no better.
    constexpr double fullLoadWeight = 0.1;
    // With fewer outcomes a server is not considered failing.
    constexpr double minSampleCount = 2;
    // Failure rate from which a server is considered failing; twenty times the base error rate of the platform.
    constexpr double failingRate = 0.3;
    // Weight of a failing server for requests that can be retried; not zero, so that its recovery is noticed.
    constexpr double probeWeight = 0.06;
    // The same for a suspected server: its next success or failure should be seen within about a second.
    constexpr double suspectedWeight = 0.15;
    // Exponent of the success rate in the weight: servers with failure rates of 0 and 20 percent should differ by more than their
    // success rates.
    constexpr double successExponent = 6;

    bool isFailing(const PlacementCandidate& server)
    {
        return server.sampleCount >= minSampleCount && server.failureRate >= failingRate;
    }

    double effectiveSlots(const PlacementCandidate& server)
    {
        return server.slots.value / std::max(server.latencyRatio, 1.0);
    }

    bool isEligible(const PlacementCandidate& server)
    {
        return !server.alreadyTried && !server.coldRateBinds && !server.refusing && !server.overloaded && !server.unreachable;
    }

    double selectionWeight(const PlacementCandidate& server, const PlacementConstraints& constraints, bool avoidFailing)
    {
        if (!isEligible(server) || server.load >= constraints.maxLoadPerSlot * effectiveSlots(server))
            return 0;
        const double loadPerSlot = server.load / effectiveSlots(server);
        // Linear in the share of free slots: the known load is about as old as a request lasts, so that a steeper preference would
        // make all hosts choose the servers that were idle a moment ago. A server without free slots is rarely chosen while others
        // have some.
        const double loadWeight = loadPerSlot < 1 ? fullLoadWeight + (1 - fullLoadWeight) * (1 - loadPerSlot) : fullLoadWeight / (loadPerSlot * loadPerSlot);
        double weight = effectiveSlots(server) * loadWeight;
        weight *= std::pow(1 - std::min(server.failureRate, 0.95) * (server.sampleCount / (server.sampleCount + 1)), successExponent);
        if (!server.sameZone)
            weight *= remoteZoneWeight;
        if (server.warmingUp)
            weight *= warmupWeight;
        if (server.suspected && !constraints.allowSuspected) {
            if (!constraints.canRetry)
                return 0;
            weight *= suspectedWeight;
        }
        if (avoidFailing && isFailing(server))
            return constraints.canRetry ? weight * probeWeight : 0;
        return weight;
    }

    // Failing servers are avoided unless fewer than floorShare of all servers would be left.
    bool canAvoidFailing(std::span<const PlacementCandidate> servers, double floorShare)
    {
        const auto failing = std::ranges::count_if(servers, isFailing);
        return static_cast<double>(failing) <= (1 - floorShare) * static_cast<double>(servers.size());
    }

} // namespace internal

std::optional<std::size_t> chooseWeighted(std::span<const PlacementCandidate> servers, const PlacementConstraints& constraints, double random)
{
    const bool avoidFailing = internal::canAvoidFailing(servers, constraints.floorShare);
    double sum = 0;
    for (const PlacementCandidate& server : servers)
        sum += internal::selectionWeight(server, constraints, avoidFailing);
    if (sum <= 0)
        return std::nullopt;
    double position = random * sum;
    std::optional<std::size_t> last;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        const double weight = internal::selectionWeight(servers[index], constraints, avoidFailing);
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
