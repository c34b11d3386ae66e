#pragma once

/// \brief Umbrella header of the package `gateway`: one gateway host. It forwards requests of callers to backend
/// servers that register themselves, and exchanges its state with the other hosts. One thread serves all requests.

#include <lacewingsail/Discovery.h>
#include <lacewingsail/Exchange.h>

#include "src/Gateway/ForwardDeclarations.h"

#include "src/Gateway/GatewayHost.h"
#include "src/Gateway/HeaderNames.h"
