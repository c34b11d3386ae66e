#pragma once

#include "FleetSnapshot.h"

#include <lacewingsail/World.h>

#include <cstdint>
#include <span>
#include <vector>

namespace lacewingsail {

/// \brief What the decision on ejections reads about one backend server of a service.
struct ServerCondition {
    SlotCount slots;
    bool leaving = false;
    /// False while this host cannot connect to the server; it then counts for no capacity.
    bool reachable = true;
    /// Share of the slots that serves: less than the whole while the server warms up.
    Percent warmupShare { 100 };
    /// Whether the current snapshot has it ejected.
    bool ejected = false;
    /// The evidence, or a pin, asks for its ejection.
    bool ejectionRequested = false;
    /// Its probes passed, or a pin asks for its return.
    bool returnRequested = false;
    /// How bad its evidence is; of two ejected servers the one with the lower figure returns first.
    double severity = 0;
    /// Several other hosts have announced that they ejected it.
    bool ejectedElsewhere = false;
};

/// \brief Why a server's standing is what it is.
enum class EjectionRule : unsigned char {
    Unchanged,
    EjectionRequested,
    ReturnRequested,
    /// Returned since healthy capacity would otherwise lie below the floor.
    ReturnedForFloor,
    /// Condemned, but kept: the floor of this host's snapshot forbids its ejection.
    KeptForFloor,
    /// Condemned, but kept: the floor over the ejections of all hosts forbids it.
    KeptForFleetFloor,
    /// Condemned, but the service's mode leaves the decision to operators.
    Proposed,
};

/// \brief The next standing of one server.
struct EjectionOutcome {
    Standing standing = Standing::Serving;
    EjectionRule rule = EjectionRule::Unchanged;
};

/// \brief Capacity in hundredths of a slot, so that floors are compared without rounding.
enum class Capacity : std::int64_t {};

/// \returns what a service has to keep: its floor's share of all its slots.
Capacity floorCapacity(Percent floor, std::span<const ServerCondition>);

/// \returns what serves under \p outcomes, which are aligned with the conditions: not the ejected, the leaving, the
/// unreachable, nor the cold part of a server that warms up.
Capacity healthyCapacity(std::span<const ServerCondition>, std::span<const EjectionOutcome> outcomes);

/// \brief Decides the next standings of one service. Afterwards healthy capacity is at or above the floor, or no
/// server that would add to it is ejected.
/// \returns outcomes aligned with the conditions. Allocates.
std::vector<EjectionOutcome> decideEjections(Percent floor, std::span<const ServerCondition>);

/// \brief The share with which a server starts after its probes passed, or when it is new.
constexpr Percent initialWarmupShare { 20 };

/// \returns the name used in journals and answers to operators.
const char* nameOf(EjectionRule);
const char* nameOf(Standing);

/// \returns what would reverse the decision, for journals and answers to operators.
const char* reversalCondition(Standing, EjectionRule);

} // namespace lacewingsail
