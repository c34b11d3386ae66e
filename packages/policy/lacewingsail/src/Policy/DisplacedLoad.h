#pragma once

#include "ZoneChoice.h"

#include <lacewingsail/World.h>

#include <cstddef>
#include <optional>
#include <span>

namespace lacewingsail {

/// \returns whether a service has a server in a zone that may get new requests.
bool hasServers(std::span<const ZoneCapacity> zones, const ZoneId&);

/// \brief Chooses the availability zone for a request of a host whose own zone has no server, for example as it is evacuated.
///
/// All hosts of the zone choose at once, from a load that is one exchange old: sent to the least loaded zone, their requests would
/// overload it before any of them knows. They are spread in proportion to the zones' free capacity instead.
/// \param random uniformly distributed in [0, 1).
/// \returns the index in \p zones, or nothing if no zone has a server.
std::optional<std::size_t> chooseZoneByFreeCapacity(std::span<const ZoneCapacity> zones, double random);

} // namespace lacewingsail
