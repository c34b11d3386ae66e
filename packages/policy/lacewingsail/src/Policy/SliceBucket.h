#pragma once

#include "Slice.h"

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief Token bucket with the rate and burst of a slice.
struct SliceBucket {
    Slice slice;
    MicroTokens available;
    MonotonicTime refilledAt {};
    /// Rounding remainder of the refills, in millionths of a micro-token.
    std::int64_t fraction = 0;
};

/// \brief Adds the tokens accumulated since the last refill. Does nothing if \p now is not after it.
void refillUntil(SliceBucket&, MonotonicTime now);

/// \brief Takes \p amount if that many tokens are available. Does not refill. \returns whether it was taken.
bool tryConsume(SliceBucket&, MicroTokens amount);

} // namespace lacewingsail
