#pragma once

#include <lacewingsail/World.h>

#include <cstddef>
#include <optional>
#include <span>

namespace lacewingsail {

/// \brief Capacity and load of a service's backend servers in one availability zone.
struct ZoneCapacity {
    ZoneId zone;
    /// Number of servers that may get new requests.
    std::size_t serverCount = 0;
    double slots = 0;
    /// Requests that all hosts have in flight there, as of the last exchange between hosts.
    double load = 0;
};

/// \brief Chooses the availability zone to whose servers a request is sent.
///
/// Balances load that is uneven between zones: the local zone is preferred, and only its excess load goes to the least loaded
/// other zone. The known load is as old as the last exchange, so that only a part of the excess is moved at a time.
/// \param random uniformly distributed in [0, 1).
/// \returns the index in \p zones, or nothing if no zone has a server.
std::optional<std::size_t> chooseZone(std::span<const ZoneCapacity> zones, const ZoneId& localZone, double random);

/// \returns the index of the zone with the lowest load per slot, without the one at \p excluded; nothing if no other zone
/// has a server.
std::optional<std::size_t> leastLoadedZone(std::span<const ZoneCapacity> zones, std::size_t excluded);

} // namespace lacewingsail
