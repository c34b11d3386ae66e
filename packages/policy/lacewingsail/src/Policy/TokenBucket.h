#pragma once

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief A bucket that fills at a rate up to a burst. Over any interval T it gives at most burst + rate * T.
struct TokenBucket {
    MicroTokens available;
    MicroTokens burst;
    TokensPerSecond rate;
    MonotonicTime refilledAt {};
};

/// \brief Adds what has flowed in since the last refill. Time that steps back adds nothing.
void refillUntil(TokenBucket&, MonotonicTime now);

/// \brief Takes \p amount if it is there. \returns whether it was taken; otherwise the bucket only refills.
bool tryConsume(TokenBucket&, MicroTokens amount, MonotonicTime now);

} // namespace lacewingsail
