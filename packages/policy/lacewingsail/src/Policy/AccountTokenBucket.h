#pragma once

#include "TokenBucket.h"

#include <lacewingsail/World.h>

#include <chrono>
#include <cstddef>

namespace lacewingsail {

/// \brief Reply to a host that requests tokens.
struct TokenGrant {
    int granted = 0;
    /// Time until a token is available; zero if some were granted.
    std::chrono::milliseconds retryAfter { 0 };
};

/// \brief Token bucket of one client account, kept by the host that coordinates the account.
struct AccountTokenBucket {
    TokenBucket bucket;
    bool initialized = false;
};

/// \brief Rank of the asked host, by its own view of the fleet, among the hosts that can coordinate the account; 0 is the
/// coordinator.
enum class CoordinatorRank : std::size_t {};

/// \brief Grants tokens of an account with \p rate and \p burst.
///
/// For an account far above its rate tokens are granted one at a time, so that hosts share what is available; below the rate
/// they are granted in blocks, which saves a call for each request. A host that is not the coordinator (\p rank above 0)
/// grants only a small part of the rate, so that hosts that disagree on the coordinator cannot exceed the account's limit
/// together.
TokenGrant grantTokens(AccountTokenBucket&, TokensPerSecond rate, MicroTokens burst, int requested, CoordinatorRank rank, MonotonicTime now);

/// \brief Tokens that were granted to a host and have not been used yet.
struct PrefetchedTokens {
    int count = 0;
    /// Invalid from then on: the coordinator assumes that they are used within the account's burst.
    MonotonicTime expiresAt {};
};

/// \brief Takes one token. \returns false if none is left or they have expired.
bool tryConsume(PrefetchedTokens&, MonotonicTime now);

} // namespace lacewingsail
