#pragma once

/// \brief Umbrella header of the package `platform`: clients of what the platform offers, the append-only log
/// service and the list of hosts, behind interfaces that tests can fake.

#include <lacewingsail/Wire.h>
#include <lacewingsail/World.h>

#include "src/Platform/ForwardDeclarations.h"

#include "src/Platform/HostList.h"
#include "src/Platform/HttpLogService.h"
#include "src/Platform/LogService.h"
