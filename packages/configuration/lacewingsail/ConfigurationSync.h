#pragma once

/// \brief Umbrella header of the package `configuration`: how the published configuration and the withdrawals of
/// keys reach every host, by the log and by peers.

#include <lacewingsail/Membership.h>
#include <lacewingsail/Observe.h>
#include <lacewingsail/Peers.h>
#include <lacewingsail/Platform.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include "src/ConfigurationSync/ForwardDeclarations.h"

#include "src/ConfigurationSync/ConfigurationPeers.h"
#include "src/ConfigurationSync/ConfigurationState.h"
#include "src/ConfigurationSync/KeyFreshnessTracker.h"
#include "src/ConfigurationSync/LogFollower.h"
#include "src/ConfigurationSync/LogKeeper.h"
#include "src/ConfigurationSync/Publication.h"
#include "src/ConfigurationSync/StreamFold.h"
