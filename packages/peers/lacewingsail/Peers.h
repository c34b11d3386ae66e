#pragma once

/// \brief Umbrella header of the package `peers`: the transport between the hosts of a fleet. What they say to
/// each other is in the packages that say it; sources that make or answer calls also include PeerCalls.h.

#include <lacewingsail/Observe.h>
#include <lacewingsail/World.h>

#include "src/Peers/ForwardDeclarations.h"

#include "src/Peers/PeerChannels.h"
#include "src/Peers/PeerServer.h"
