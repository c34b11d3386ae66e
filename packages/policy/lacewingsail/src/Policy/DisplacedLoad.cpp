#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // Share of its capacity that a full zone counts as free: requests end all the time, and the load may have changed since.
    constexpr double minFreeShare = 0.05;

    double freeCapacity(const ZoneCapacity& zone)
    {
        return zone.serverCount > 0 ? std::max(zone.slots - zone.load, minFreeShare * zone.slots) : 0;
    }

} // namespace internal

bool hasServers(std::span<const ZoneCapacity> zones, const ZoneId& zone)
{
    return std::ranges::any_of(zones, [&](const ZoneCapacity& capacity) { return capacity.zone == zone && capacity.serverCount > 0; });
}

std::optional<std::size_t> chooseZoneByFreeCapacity(std::span<const ZoneCapacity> zones, double random)
{
    double sum = 0;
    for (const ZoneCapacity& zone : zones)
        sum += internal::freeCapacity(zone);
    double position = random * sum;
    std::optional<std::size_t> last;
    for (std::size_t index = 0; index < zones.size(); ++index) {
        const double weight = internal::freeCapacity(zones[index]);
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
