#pragma once

#include "Slice.h"

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief A bucket that fills at the rate of a slice up to its burst.
struct SliceBucket {
    Slice slice;
    MicroTokens available;
    MonotonicTime refilledAt {};
    /// What rounding has left over, in millionths of a micro-token.
    std::int64_t fraction = 0;
};

/// \brief Adds what has flowed in since the last refill. Time that steps back adds nothing.
void refillUntil(SliceBucket&, MonotonicTime now);

/// \brief Takes \p amount if it is there. The bucket must have been refilled. \returns whether it was taken.
bool tryConsume(SliceBucket&, MicroTokens amount);

} // namespace lacewingsail
