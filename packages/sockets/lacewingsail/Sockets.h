#pragma once

/// \brief Umbrella header of the package `sockets`: listening sockets and the acceptance of connections.

#include <lacewingsail/World.h>

#include "src/Sockets/ForwardDeclarations.h"

#include "src/Sockets/Listener.h"
