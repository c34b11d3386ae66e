#pragma once

/// \brief Umbrella header of the package `discovery`: the current configuration and the registered backend servers, read
/// from the platform's store or received from other hosts.

#include <lacewingsail/Observe.h>
#include <lacewingsail/Policy.h>

#include "src/Discovery/ForwardDeclarations.h"

#include "src/Discovery/RecordStore.h"

#include "src/Discovery/ActiveConfiguration.h"
#include "src/Discovery/Evacuations.h"
#include "src/Discovery/ServerRegistry.h"
#include "src/Discovery/StoreFollower.h"
