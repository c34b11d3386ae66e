#pragma once

/// \brief Umbrella header of the package `bookings`: how the fleet agrees, through streams of the log, on which
/// request of an idempotency key runs.

#include <lacewingsail/Observe.h>
#include <lacewingsail/Platform.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include "src/Bookings/ForwardDeclarations.h"

#include "src/Bookings/BookingBatch.h"
#include "src/Bookings/BookingShard.h"
#include "src/Bookings/ClaimTracker.h"
#include "src/Bookings/LogBookings.h"
