#pragma once

/// \brief Umbrella header of the package `policy`: every decision of the fleet as free functions over plain
/// structs. Nothing here does I/O, starts a thread or reads a clock; time is an argument.

#include <lacewingsail/World.h>

#include "src/Policy/ForwardDeclarations.h"

#include "src/Policy/AccountPool.h"
#include "src/Policy/Admission.h"
#include "src/Policy/Attempt.h"
#include "src/Policy/BookingClaims.h"
#include "src/Policy/BookingFold.h"
#include "src/Policy/Choice.h"
#include "src/Policy/ConfigurationEdits.h"
#include "src/Policy/ConfigurationFold.h"
#include "src/Policy/Detection.h"
#include "src/Policy/Ejection.h"
#include "src/Policy/Evidence.h"
#include "src/Policy/ExchangeSchedule.h"
#include "src/Policy/FleetSnapshot.h"
#include "src/Policy/HostRoutes.h"
#include "src/Policy/Keys.h"
#include "src/Policy/Links.h"
#include "src/Policy/LogUpkeep.h"
#include "src/Policy/OwnSlice.h"
#include "src/Policy/Placement.h"
#include "src/Policy/Pool.h"
#include "src/Policy/Recovery.h"
#include "src/Policy/Relays.h"
#include "src/Policy/RetryAllowance.h"
#include "src/Policy/RetryBudget.h"
#include "src/Policy/Routing.h"
#include "src/Policy/ServerUse.h"
#include "src/Policy/Slice.h"
#include "src/Policy/SliceBucket.h"
#include "src/Policy/SlotFold.h"
#include "src/Policy/SlotLease.h"
#include "src/Policy/Suspicion.h"
#include "src/Policy/TextHash.h"
#include "src/Policy/TokenBucket.h"
