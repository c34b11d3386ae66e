#pragma once

#include "FleetSnapshot.h"

#include <lacewingsail/World.h>

#include <cstdint>
#include <span>
#include <vector>

namespace lacewingsail {

/// \brief Input of the ejection decision for one backend server of a service.
struct ServerCondition {
    SlotCount slots;
    bool leaving = false;
    /// False while this host cannot connect to the server; its capacity then does not count.
    bool reachable = true;
    /// Share of the slots that may be used; below 100 percent during warm-up.
    Percent warmupShare { 100 };
    /// Whether it is ejected in the current snapshot.
    bool ejected = false;
    /// Evidence or an operator's pin asks for its ejection.
    bool ejectionRequested = false;
    /// Its probes passed, or an operator's pin asks for its return.
    bool returnRequested = false;
    /// Severity of its failures; of two ejected servers the one with the lower severity returns first.
    double severity = 0;
    /// Several other hosts have announced that they ejected it.
    bool ejectedElsewhere = false;
};

/// \brief Reason for the standing of a server.
enum class EjectionRule : unsigned char {
    Unchanged,
    EjectionRequested,
    ReturnRequested,
    /// Returned because healthy capacity would otherwise be below the floor.
    ReturnedForFloor,
    /// Ejection requested, but it would take this host's healthy capacity below the floor.
    KeptForFloor,
    /// Ejection requested, but with the ejections of other hosts it would take the capacity below the floor.
    KeptForFleetFloor,
    /// Ejection requested, but the service's mode leaves the decision to operators.
    Proposed,
};

/// \brief The next standing of one server.
struct EjectionOutcome {
    Standing standing = Standing::Serving;
    EjectionRule rule = EjectionRule::Unchanged;
};

/// \brief Capacity in hundredths of a slot, so that comparisons with floors need no rounding.
enum class Capacity : std::int64_t {};

/// \returns the capacity that a service must keep: the floor's share of all its slots.
Capacity floorCapacity(Percent floor, std::span<const ServerCondition>);

/// \returns the healthy capacity under \p outcomes, which are aligned with the conditions: without ejected, leaving and
/// unreachable servers, and only the warm-up share of servers that warm up.
Capacity healthyCapacity(std::span<const ServerCondition>, std::span<const EjectionOutcome> outcomes);

/// \brief Decides the next standings of the servers of one service. Afterwards either healthy capacity is at or above
/// the floor, or no server that would add to it is ejected.
/// \returns outcomes aligned with the conditions. Allocates memory.
std::vector<EjectionOutcome> decideEjections(Percent floor, std::span<const ServerCondition>);

/// \brief Warm-up share at which a new server, or one that returns by EjectionRule::ReturnRequested, starts.
constexpr Percent initialWarmupShare { 20 };

/// \returns the name used in journals and in responses to operators.
const char* nameOf(EjectionRule);
const char* nameOf(Standing);

/// \returns a description of what would reverse the decision, for journals and for responses to operators.
const char* reversalCondition(Standing, EjectionRule);

} // namespace lacewingsail
