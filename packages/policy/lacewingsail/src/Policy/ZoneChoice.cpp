#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // Up to this fill a request hardly ever waits behind a zone's other requests.
    constexpr double freeFill = 0.65;
    // Part of the excess that is moved: the sight of it is one exchange old.
    constexpr double movedPart = 0.6;

    double fillOf(const ZoneCapacity& room) { return room.slots > 0 ? room.load / room.slots : 0; }

} // namespace internal

std::optional<std::size_t> leastLoadedZone(std::span<const ZoneCapacity> rooms, std::size_t excluded)
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < rooms.size(); ++index) {
        if (index == excluded || rooms[index].serverCount == 0)
            continue;
        if (!best || internal::fillOf(rooms[index]) < internal::fillOf(rooms[*best]))
            best = index;
    }
    return best;
}

std::optional<std::size_t> chooseZone(std::span<const ZoneCapacity> rooms, const ZoneId& localZone, double random)
{
    const auto found = std::ranges::find(rooms, localZone, &ZoneCapacity::zone);
    const auto own = static_cast<std::size_t>(found - rooms.begin());
    const auto far = leastLoadedZone(rooms, own);
    if (found == rooms.end() || found->serverCount == 0)
        return far;
    if (!far)
        return own;
    const double fill = internal::fillOf(*found);
    const double level = std::max(internal::freeFill, internal::fillOf(rooms[*far]));
    const double moved = fill > level ? internal::movedPart * (fill - level) / fill : 0;
    return random < moved ? *far : own;
}

} // namespace lacewingsail
