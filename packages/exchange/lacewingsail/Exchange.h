#pragma once

/// \brief Umbrella header of the package `exchange`: what gateway hosts tell each other. One periodic call carries the
/// configuration, the backend servers, their use, and who is alive; a second one draws tokens of client accounts, a
/// third one has the host that knows a server's load choose it.

#include <lacewingsail/Discovery.h>
#include <lacewingsail/Policy.h>

#include "src/Exchange/ForwardDeclarations.h"

#include "src/Exchange/FleetDirectory.h"
#include "src/Exchange/StatsAggregator.h"

#include "src/Exchange/AccountRateLimiter.h"
#include "src/Exchange/FleetExchange.h"
#include "src/Exchange/GatewayCalls.h"
#include "src/Exchange/PlacementClient.h"
#include "src/Exchange/PlacementCoordinator.h"
