#pragma once

/// \brief Umbrella header of the package `exchange`: the calls between gateway hosts. A periodic call exchanges the
/// configuration, the backend servers, their statistics and the live hosts; a second call requests tokens of client
/// accounts; a third call asks the host that tracks the load of some servers to choose one of them.

#include <lacewingsail/Discovery.h>
#include <lacewingsail/Policy.h>

#include "src/Exchange/ForwardDeclarations.h"

#include "src/Exchange/ColdServerLimiter.h"
#include "src/Exchange/FleetDirectory.h"
#include "src/Exchange/StatsAggregator.h"

#include "src/Exchange/AccountRateLimiter.h"
#include "src/Exchange/FleetExchange.h"
#include "src/Exchange/GatewayCalls.h"
#include "src/Exchange/HostCalls.h"
#include "src/Exchange/PlacementClient.h"
#include "src/Exchange/PlacementCoordinator.h"
