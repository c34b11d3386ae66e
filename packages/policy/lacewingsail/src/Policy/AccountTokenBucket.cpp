#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cassert>

namespace lacewingsail {

namespace internal {

    // What a new keeper starts with, in time at the account's rate: its predecessor may have given the whole burst a
    // moment ago, and the operators' windows forgive a tenth of five seconds.
    constexpr std::chrono::milliseconds firstFill { 400 };
    // Share of the rate that hosts other than the keeper may give, in percent: for the seconds in which hosts disagree on
    // the keeper, this stays near the operators' overshoot of a tenth and their slack.
    constexpr int standbyPercent = 20;
    constexpr int strangerPercent = 5;
    // A pool below this part of its burst hands out single tokens.
    constexpr int blockFloorDivisor = 2;

    TokensPerSecond rateOf(TokensPerSecond rate, CoordinatorRank rank)
    {
        if (rank == CoordinatorRank { 0 })
            return rate;
        const int percent = rank == CoordinatorRank { 1 } ? standbyPercent : strangerPercent;
        return { std::max<std::int64_t>(1, rate.value * percent / 100) };
    }

    MicroTokens burstOf(TokensPerSecond rate, MicroTokens burst)
    {
        // An account without a burst still gets one request at a time.
        return std::max({ burst, refill(rate, firstFill), oneToken });
    }

} // namespace internal

TokenGrant grantTokens(AccountTokenBucket& pool, TokensPerSecond rate, MicroTokens burst, int wanted, CoordinatorRank rank, MonotonicTime now)
{
    assert(rate.value > 0 && wanted > 0);
    const MicroTokens wholeBurst = internal::burstOf(rate, burst);
    if (!pool.initialized) {
        pool.initialized = true;
        pool.bucket = TokenBucket { std::min(wholeBurst, refill(rate, internal::firstFill)), wholeBurst, rate, now };
    }
    refillUntil(pool.bucket, now);
    pool.bucket.rate = internal::rateOf(rate, rank);
    pool.bucket.burst = wholeBurst;
    pool.bucket.available = std::min(pool.bucket.available, wholeBurst);
    const bool scarce = pool.bucket.available.value < wholeBurst.value / internal::blockFloorDivisor;
    const std::int64_t whole = pool.bucket.available.value / oneToken.value;
    const std::int64_t granted = std::clamp<std::int64_t>(scarce ? 1 : wanted, 0, whole);
    if (granted > 0) {
        pool.bucket.available = pool.bucket.available - wholeTokens(granted);
        return { static_cast<int>(granted), {} };
    }
    const std::int64_t missing = oneToken.value - pool.bucket.available.value;
    return { 0, std::chrono::milliseconds(missing / pool.bucket.rate.value / 1000 + 1) };
}

bool tryConsume(PrefetchedTokens& tokens, MonotonicTime now)
{
    if (tokens.count <= 0 || now >= tokens.expiresAt)
        return false;
    --tokens.count;
    return true;
}

} // namespace lacewingsail
