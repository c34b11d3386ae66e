#pragma once

/// \brief Umbrella header of the package `bookings`: decides across the fleet, through streams of the log, which
/// request of an idempotency key runs. A booking is the state of one key: its owner and, once finished, the outcome.

#include <lacewingsail/Observe.h>
#include <lacewingsail/Platform.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include "src/Bookings/ForwardDeclarations.h"

#include "src/Bookings/BookingBatch.h"
#include "src/Bookings/BookingShard.h"
#include "src/Bookings/ClaimTracker.h"
#include "src/Bookings/LogBookings.h"
