#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // About a hundred slots and, by the platform's specification, a hundred requests per second when a third of the slots is busy.
    constexpr std::size_t serversPerCell = 16;

} // namespace internal

std::string coordinatorKey(const PlacementCell& cell) { return cell.service.value() + '/' + std::to_string(cell.index); }

std::uint32_t cellCount(std::size_t servers)
{
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, (servers + internal::serversPerCell / 2) / internal::serversPerCell));
}

std::uint32_t cellIndex(const BackendServerId& id, std::uint32_t count) { return static_cast<std::uint32_t>(stableHash(id.value()) % std::max(count, 1U)); }

} // namespace lacewingsail
