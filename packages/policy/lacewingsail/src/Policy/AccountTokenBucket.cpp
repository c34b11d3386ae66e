#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cassert>

namespace lacewingsail {

namespace internal {

    // Initial level of the bucket, in time at the account's rate: the previous coordinator may just have granted the whole
    // burst, and the operators tolerate an overshoot of a tenth in a window of five seconds, which is 500 ms at the rate.
    constexpr std::chrono::milliseconds initialFill { 400 };
    // Share of the rate that hosts other than the coordinator may grant, in percent. During the seconds in which hosts disagree
    // on the coordinator, this stays close to the overshoot of a tenth and the slack that the operators tolerate.
    constexpr int standbyPercent = 20;
    constexpr int otherHostPercent = 5;
    // Below its burst divided by this, a bucket grants single tokens.
    constexpr int singleTokenDivisor = 2;

    TokensPerSecond grantableRate(TokensPerSecond rate, CoordinatorRank rank)
    {
        if (rank == CoordinatorRank { 0 })
            return rate;
        const int percent = rank == CoordinatorRank { 1 } ? standbyPercent : otherHostPercent;
        return { std::max<std::int64_t>(1, rate.value * percent / 100) };
    }

    MicroTokens effectiveBurst(TokensPerSecond rate, MicroTokens burst)
    {
        // Holds at least the initial level, and one token, so that an account without a burst can send one request at a time.
        return std::max({ burst, refill(rate, initialFill), oneToken });
    }

} // namespace internal

TokenGrant grantTokens(AccountTokenBucket& account, TokensPerSecond rate, MicroTokens burst, int requested, CoordinatorRank rank, MonotonicTime now)
{
    assert(rate.value > 0 && requested > 0);
    const MicroTokens maxLevel = internal::effectiveBurst(rate, burst);
    if (!account.initialized) {
        account.initialized = true;
        account.bucket = TokenBucket { std::min(maxLevel, refill(rate, internal::initialFill)), maxLevel, rate, now };
    }
    refillUntil(account.bucket, now);
    account.bucket.rate = internal::grantableRate(rate, rank);
    account.bucket.burst = maxLevel;
    account.bucket.available = std::min(account.bucket.available, maxLevel);
    const bool scarce = account.bucket.available.value < maxLevel.value / internal::singleTokenDivisor;
    const std::int64_t available = account.bucket.available.value / oneToken.value;
    const std::int64_t granted = std::clamp<std::int64_t>(scarce ? 1 : requested, 0, available);
    if (granted > 0) {
        account.bucket.available = account.bucket.available - wholeTokens(granted);
        return { static_cast<int>(granted), {} };
    }
    const std::int64_t missing = oneToken.value - account.bucket.available.value;
    return { 0, std::chrono::milliseconds(missing / account.bucket.rate.value / 1000 + 1) };
}

bool tryConsume(PrefetchedTokens& tokens, MonotonicTime now)
{
    if (tokens.count <= 0 || now >= tokens.expiresAt)
        return false;
    --tokens.count;
    return true;
}

} // namespace lacewingsail
