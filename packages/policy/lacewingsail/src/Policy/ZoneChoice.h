#pragma once

#include <lacewingsail/World.h>

#include <chrono>
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
    /// To the zone's servers and back; zero if it is not known.
    std::chrono::duration<double> roundTrip { 0 };
};

/// \brief Chooses the availability zone to whose servers a request is sent.
///
/// Demand and servers are uneven between zones, and bytes between them are dear: the local zone is preferred, and only its load
/// above the common level of all zones goes to others, in proportion to their free capacity. A zone further away counts as fuller,
/// by its round trip relative to the work of a request. The known load is as old as the last exchange, so that only a part of the
/// excess is moved at a time and no zone is sent more than it has free.
/// \param random uniformly distributed in [0, 1).
/// \param latencyObjective of the request; zero if it has none.
/// \returns the index in \p zones, or nothing if no zone has a server.
std::optional<std::size_t> chooseZone(std::span<const ZoneCapacity> zones, const ZoneId& localZone, double random, std::chrono::milliseconds latencyObjective = {});

/// \returns the index of the zone with the lowest load per slot, without the one at \p excluded; nothing if no other zone
/// has a server.
std::optional<std::size_t> leastLoadedZone(std::span<const ZoneCapacity> zones, std::size_t excluded);

/// \brief Capacity and load of the servers of one cell.
struct CellLoad {
    double slots = 0;
    double load = 0;
};

/// \returns whether the first of two cells that were drawn at random has less load per slot, so that it is asked.
///
/// Cells differ in demand and in their servers. With the better of two drawn cells the hosts do not all run to the same one.
bool isFreer(const CellLoad& first, const CellLoad& second);

/// \returns the number of slots of usual speed that correspond to a server's slots.
/// \param latencyRatio its time to answer relative to the service's average.
double effectiveSlots(SlotCount, double latencyRatio);

} // namespace lacewingsail
