#pragma once

#include "TokenBucket.h"

#include <lacewingsail/World.h>

#include <chrono>
#include <cstddef>

namespace lacewingsail {

/// \brief What a host that asks for tokens gets.
struct TokenGrant {
    int granted = 0;
    /// When a token will be there; zero if some were granted.
    std::chrono::milliseconds retryAfter { 0 };
};

/// \brief The tokens of one client account, kept by the host that the fleet agrees on.
struct AccountTokenBucket {
    TokenBucket bucket;
    bool initialized = false;
};

/// \brief Position of the asked host among those that could keep the account: 0 is the keeper itself.
enum class CoordinatorRank : std::size_t {};

/// \brief Hands out tokens of an account with \p rate and \p burst.
///
/// Answers two load patterns. An account far above its rate gets one token at a time, so that hosts share what is
/// there; an account below it gets blocks, which saves a call for each request. A host that is not the keeper by its own
/// view of the fleet (\p rank above 0) hands out a small part of the rate, so that hosts that disagree on the keeper
/// cannot exceed the account's limit together.
TokenGrant grantTokens(AccountTokenBucket&, TokensPerSecond rate, MicroTokens burst, int wanted, CoordinatorRank rank, MonotonicTime now);

/// \brief Tokens that a host drew and has not used yet.
struct PrefetchedTokens {
    int count = 0;
    /// After this they are worthless, since the keeper counts on their use within its burst.
    MonotonicTime expiresAt {};
};

/// \returns whether a token was there and has been taken.
bool tryConsume(PrefetchedTokens&, MonotonicTime now);

} // namespace lacewingsail
