#pragma once

/// \brief Umbrella header of the package `gateway`: one gateway host. It takes callers' requests, passes them on to
/// backend servers that register themselves, and shares what it knows with the other hosts. One thread runs all of it.

#include <lacewingsail/Discovery.h>
#include <lacewingsail/Exchange.h>

#include "src/Gateway/ForwardDeclarations.h"

#include "src/Gateway/GatewayHost.h"
#include "src/Gateway/HeaderNames.h"
