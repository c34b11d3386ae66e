#pragma once

#include <lacewingsail/World.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lacewingsail {

/// \brief A group of a service's servers in one availability zone; one host, its coordinator, places all their requests.
struct PlacementCell {
    ServiceId service;
    ZoneId zone;
    std::uint32_t index = 0;
    /// Number of cells of the service in the zone.
    std::uint32_t count = 1;

    auto operator<=>(const PlacementCell&) const = default;
};

/// \returns the key by which hosts rank the coordinators of a cell among the hosts of its zone.
std::string coordinatorKey(const PlacementCell&);

/// \returns the number of cells for \p servers servers of a service in one zone.
///
/// A service can have hundreds of servers and a host only a tenth of a processor core, too little to place all their requests.
/// A cell is still large enough that its servers share bursts.
std::uint32_t cellCount(std::size_t servers);

/// \returns the index of a server's cell among \p count cells; the same on every host.
std::uint32_t cellIndex(const BackendServerId&, std::uint32_t count);

} // namespace lacewingsail
