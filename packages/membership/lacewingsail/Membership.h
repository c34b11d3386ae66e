#pragma once

/// \brief Umbrella header of the package `membership`: which hosts belong to the fleet.

#include <lacewingsail/Observe.h>
#include <lacewingsail/Platform.h>
#include <lacewingsail/World.h>

#include "src/Membership/ForwardDeclarations.h"

#include "src/Membership/FleetMembership.h"
