#pragma once

#include <lacewingsail/World.h>

#include <cstddef>
#include <optional>
#include <span>

namespace lacewingsail {

/// \brief What a service's backend servers in one availability zone have room for.
struct ZoneCapacity {
    ZoneId zone;
    /// Servers in use.
    std::size_t serverCount = 0;
    double slots = 0;
    /// Requests that all hosts together have there, as of the last exchange.
    double load = 0;
};

/// \brief Chooses the availability zone whose servers are to get a request.
///
/// Answers load that is spread unevenly over the zones: near servers first, and only what they have no room for goes to
/// others. The load is as old as an exchange, so that the excess is moved in part at a time.
/// \param random uniformly distributed in [0, 1).
/// \returns the position in \p rooms, or nothing if no zone has a server.
std::optional<std::size_t> chooseZone(std::span<const ZoneCapacity> rooms, const ZoneId& localZone, double random);

/// \returns the other zone with the most room for each slot, or nothing.
std::optional<std::size_t> leastLoadedZone(std::span<const ZoneCapacity> rooms, std::size_t excluded);

} // namespace lacewingsail
