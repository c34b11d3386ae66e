#pragma once

/// \brief Umbrella header of the package `discovery`: which configuration is in force and which backend servers there
/// are, as told by the platform's store or, where it cannot be heard, by other hosts.

#include <lacewingsail/Observe.h>
#include <lacewingsail/Policy.h>

#include "src/Discovery/ForwardDeclarations.h"

#include "src/Discovery/RecordStore.h"

#include "src/Discovery/ActiveConfiguration.h"
#include "src/Discovery/ServerRegistry.h"
#include "src/Discovery/StoreFollower.h"
