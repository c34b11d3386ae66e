#pragma once

/// \brief Umbrella header of the package `world`: the things that the fleet works with, as plain structs with
/// strong ids and units. The parts below are in reading order; include only this file.

#include "src/World/ForwardDeclarations.h"

#include "src/World/Clock.h"
#include "src/World/ConfigurationEdits.h"
#include "src/World/Contracts.h"
#include "src/World/EventLoop.h"
#include "src/World/GatewaySettings.h"
#include "src/World/Ids.h"
#include "src/World/Machines.h"
#include "src/World/RegisteredServer.h"
#include "src/World/ResultCode.h"
#include "src/World/Settings.h"
#include "src/World/SlotRecord.h"
#include "src/World/Units.h"
