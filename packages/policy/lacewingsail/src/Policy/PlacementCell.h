#pragma once

#include <lacewingsail/World.h>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace lacewingsail {

/// \brief Servers of a service in one availability zone for which one host places all requests.
struct PlacementCell {
    ServiceId service;
    ZoneId zone;
    std::uint32_t index = 0;
    std::uint32_t count = 1;

    auto operator<=>(const PlacementCell&) const = default;
};

/// \brief Divides the servers of a service in one zone.
///
/// Answers services of hundreds of servers before hosts with a tenth of a core: one host could not place all of their
/// requests, and a cell is large enough that its servers share bursts.
std::uint32_t cellCount(std::size_t servers);

/// \returns the cell of a server among \p count, the same on every host.
std::uint32_t cellIndex(const BackendServerId&, std::uint32_t count);

} // namespace lacewingsail
