#pragma once

/// \brief Umbrella header of the package `detection`: gathers evidence on backend servers from the request threads
/// and from the other hosts, and decides on standings with the functions of `policy`.

#include <lacewingsail/Membership.h>
#include <lacewingsail/Observe.h>
#include <lacewingsail/Peers.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include "src/Detection/ForwardDeclarations.h"

#include "src/Detection/EvidenceQueue.h"

#include "src/Detection/DetectionState.h"

#include "src/Detection/EvidencePeers.h"

#include "src/Detection/DetectionController.h"
