#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // Up to this load per slot a request hardly ever waits for another one of its zone.
    constexpr double minSpilloverLoadPerSlot = 0.65;
    // Share of the excess load that is moved; not all of it, since the known load is one exchange old.
    constexpr double movedShare = 0.6;

    double loadPerSlot(const ZoneCapacity& zone) { return zone.slots > 0 ? zone.load / zone.slots : 0; }

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

std::optional<std::size_t> chooseZone(std::span<const ZoneCapacity> zones, const ZoneId& localZone, double random)
{
    const auto found = std::ranges::find(zones, localZone, &ZoneCapacity::zone);
    const auto local = static_cast<std::size_t>(found - zones.begin());
    const auto remote = leastLoadedZone(zones, local);
    if (found == zones.end() || found->serverCount == 0)
        return remote;
    if (!remote)
        return local;
    const double localLoad = internal::loadPerSlot(*found);
    const double targetLoad = std::max(internal::minSpilloverLoadPerSlot, internal::loadPerSlot(zones[*remote]));
    const double spilloverProbability = localLoad > targetLoad ? internal::movedShare * (localLoad - targetLoad) / localLoad : 0;
    return random < spilloverProbability ? *remote : local;
}

} // namespace lacewingsail
