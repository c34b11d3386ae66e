#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // Up to this load per slot a request hardly ever waits for another one of its zone.
    constexpr double minSpilloverLoadPerSlot = 0.65;
    // Share of the excess load that is moved; not all of it, since the known load is one exchange old.
    constexpr double movedShare = 0.6;
    // Usual work of a request, as a share of its latency objective: operators set objectives of about three times the work.
    constexpr double workShare = 0.3;
    // Used for requests without a latency objective.
    constexpr std::chrono::duration<double> defaultWork { 0.3 };
    // Between zones, until connections have shown it.
    constexpr std::chrono::duration<double> defaultRoundTrip { 0.004 };
    // A server's average also depends on the kinds of request that it got.
    constexpr double minLatencyRatio = 0.7;
    constexpr double maxLatencyRatio = 2;

    double loadPerSlot(const ZoneCapacity& zone) { return zone.slots > 0 ? zone.load / zone.slots : 0; }

    // Load per slot that delays a request by as much as the longer way to the zone: a full server with one request more per slot
    // takes one more time the work.
    double wayAsLoad(const ZoneCapacity& zone, const ZoneCapacity& local, std::chrono::milliseconds latencyObjective)
    {
        const auto roundTrip = zone.roundTrip.count() > 0 ? zone.roundTrip : defaultRoundTrip;
        const auto work = latencyObjective.count() > 0 ? std::chrono::duration<double>(latencyObjective) * workShare : defaultWork;
        return std::max(0.0, (roundTrip - local.roundTrip) / work);
    }

    double freeCapacity(const ZoneCapacity& zone, const ZoneCapacity& local, double level, std::chrono::milliseconds latencyObjective)
    {
        return zone.serverCount > 0 ? std::max(0.0, zone.slots * (level - wayAsLoad(zone, local, latencyObjective)) - zone.load) : 0;
    }

} // namespace internal

std::optional<std::size_t> leastLoadedZone(std::span<const ZoneCapacity> zones, std::size_t excluded)
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < zones.size(); ++index) {
        if (index == excluded || zones[index].serverCount == 0)
            continue;
        if (!best || internal::loadPerSlot(zones[index]) < internal::loadPerSlot(zones[*best]))
            best = index;
    }
    return best;
}

std::optional<std::size_t> chooseZone(std::span<const ZoneCapacity> zones, const ZoneId& localZone, double random, std::chrono::milliseconds latencyObjective)
{
    const auto found = std::ranges::find(zones, localZone, &ZoneCapacity::zone);
    const auto local = static_cast<std::size_t>(found - zones.begin());
    const auto remote = leastLoadedZone(zones, local);
    if (found == zones.end() || found->serverCount == 0)
        return remote;
    if (!remote)
        return local;
    double slots = 0;
    double load = 0;
    for (const ZoneCapacity& zone : zones) {
        slots += zone.slots;
        load += zone.load;
    }
    const double level = std::max(internal::minSpilloverLoadPerSlot, slots > 0 ? load / slots : 0);
    const double excess = found->load - found->slots * level;
    if (excess <= 0)
        return local;
    double free = 0;
    for (std::size_t index = 0; index < zones.size(); ++index)
        free += index == local ? 0 : internal::freeCapacity(zones[index], *found, level, latencyObjective);
    const double movedProbability = internal::movedShare * std::min(excess, free) / found->load;
    if (random >= movedProbability)
        return local;
    double position = random / movedProbability * free;
    std::size_t chosen = *remote;
    for (std::size_t index = 0; index < zones.size() && position >= 0; ++index) {
        const double capacity = index == local ? 0 : internal::freeCapacity(zones[index], *found, level, latencyObjective);
        if (capacity <= 0)
            continue;
        chosen = index;
        position -= capacity;
    }
    return chosen;
}

bool isFreer(const CellLoad& first, const CellLoad& second) { return first.load * second.slots < second.load * first.slots; }

double effectiveSlots(SlotCount slots, double latencyRatio) { return slots.value / std::clamp(latencyRatio, internal::minLatencyRatio, internal::maxLatencyRatio); }

} // namespace lacewingsail
