#pragma once

#include <lacewingsail/World.h>

#include <chrono>

namespace lacewingsail {

/// \brief Reply to a host that requests tokens.
struct TokenGrant {
    int granted = 0;
    /// Time until a token is available; zero if some were granted or if that is not known.
    std::chrono::milliseconds retryAfter { 0 };
};

/// \brief Rate and burst of a client account, or a part of them.
struct AccountLimit {
    /// Tokens per second.
    MicroTokens perSecond;
    MicroTokens burst;

    bool operator==(const AccountLimit&) const = default;
};

/// \returns the rate and burst of \p account.
AccountLimit limitOf(const ClientAccount& account);

/// \returns the part of \p limit that all hosts together may grant without the account's coordinator. With the tokens that
/// hosts hold in advance it stays below the overshoot that the operators tolerate.
AccountLimit limitWithoutCoordinator(const AccountLimit& limit, const GatewayBounds&);

/// \brief What one host may grant of a limit.
struct GrantAuthority {
    /// 0 to 1. The shares of all hosts add up to 1 at most.
    double share = 0;
    /// Tokens that accrued before then belonged to another host.
    MonotonicTime since {};
};

/// \brief Tokens of one client account at one host.
struct AccountTokenBucket {
    MicroTokens available;
    MonotonicTime refilledAt {};
};

/// \brief Grants tokens of an account.
///
/// For an account far above its rate tokens are granted one at a time, so that hosts share what is available; below the rate
/// they are granted in blocks, which saves a call for each request. A share that never holds a whole token grants one with
/// the probability of its fraction, so that the shares of many hosts together yield the account's rate.
/// \param random uniform in [0, 1).
TokenGrant grantTokens(AccountTokenBucket&, const AccountLimit&, const GrantAuthority&, int requested, double random, MonotonicTime now);

/// \brief Tokens that were granted to a host and have not been used yet.
struct PrefetchedTokens {
    int count = 0;
    /// Invalid from then on: the coordinator assumes that they are used within the account's burst.
    MonotonicTime expiresAt {};
};

/// \brief Takes one token. \returns false if none is left or they have expired.
bool tryConsume(PrefetchedTokens&, MonotonicTime now);

} // namespace lacewingsail
