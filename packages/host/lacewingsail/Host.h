#pragma once

/// \brief Umbrella header of the package `host`: one entry host, put together from the other packages.

#include <lacewingsail/World.h>

#include "src/Host/ForwardDeclarations.h"

#include "src/Host/EntryHost.h"
