#pragma once

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief Token bucket. Over any interval T it grants at most burst + rate * T tokens.
struct TokenBucket {
    MicroTokens available;
    MicroTokens burst;
    TokensPerSecond rate;
    MonotonicTime refilledAt {};
};

/// \brief Adds the tokens accumulated since the last refill. Does nothing if \p now is not after it.
void refillUntil(TokenBucket&, MonotonicTime now);

/// \brief Refills the bucket, then takes \p amount if that many tokens are available. \returns whether it was taken.
bool tryConsume(TokenBucket&, MicroTokens amount, MonotonicTime now);

} // namespace lacewingsail
