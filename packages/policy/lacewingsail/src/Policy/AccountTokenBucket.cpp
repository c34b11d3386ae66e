#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace lacewingsail {

namespace internal {

    // Burst of an account that has none or a smaller one, in time at its rate.
    constexpr std::chrono::duration<double> minBurst { 0.1 };
    // Below its burst divided by this, a bucket grants single tokens.
    constexpr int singleTokenDivisor = 2;
    // The other half of the tolerated overshoot is for tokens that hosts hold in advance and for changes of coordinators.
    constexpr double toleranceShare = 0.5;

    MicroTokens scaled(MicroTokens tokens, double factor)
    {
        return { std::llround(static_cast<double>(tokens.value) * factor) };
    }

    MicroTokens maxLevel(const AccountLimit& limit, double share)
    {
        return scaled(std::max({ limit.burst, scaled(limit.perSecond, minBurst.count()), oneToken }), share);
    }

    void refill(AccountTokenBucket& bucket, const AccountLimit& limit, const GrantAuthority& authority, MonotonicTime now)
    {
        if (bucket.refilledAt < authority.since)
            bucket = { MicroTokens {}, authority.since };
        const MicroTokens max = maxLevel(limit, authority.share);
        const std::chrono::duration<double> elapsed = std::max(now - bucket.refilledAt, Duration::zero());
        const double accrued = static_cast<double>(limit.perSecond.value) * authority.share * elapsed.count();
        // Compared before the conversion, as the product may exceed 64 bits after a long time.
        const bool full = accrued >= static_cast<double>(max.value);
        bucket.available = full ? max : std::min(max, bucket.available + MicroTokens { std::llround(accrued) });
        bucket.refilledAt = std::max(bucket.refilledAt, now);
    }

    TokenGrant grantFraction(AccountTokenBucket& bucket, double random)
    {
        const double probability = static_cast<double>(bucket.available.value) / static_cast<double>(oneToken.value);
        bucket.available = {};
        return { random < probability ? 1 : 0, {} };
    }

} // namespace internal

AccountLimit limitOf(const ClientAccount& account)
{
    return { wholeTokens(account.rate.value), account.burst };
}

AccountLimit limitWithoutCoordinator(const AccountLimit& limit, const GatewayBounds& bounds)
{
    const double overshoot = bounds.rateOvershoot * internal::toleranceShare;
    const std::chrono::duration<double> window = bounds.rateWindow;
    const MicroTokens slack = internal::scaled(oneToken, bounds.rateSlack * internal::toleranceShare / std::max(window.count(), 1.0));
    return { internal::scaled(limit.perSecond, overshoot) + slack, internal::scaled(limit.burst, overshoot) };
}

TokenGrant grantTokens(AccountTokenBucket& bucket, const AccountLimit& limit, const GrantAuthority& authority, int requested, double random, MonotonicTime now)
{
    assert(limit.perSecond.value > 0 && requested > 0 && authority.share >= 0 && authority.share <= 1);
    if (authority.share == 0)
        return {};
    internal::refill(bucket, limit, authority, now);
    const MicroTokens max = internal::maxLevel(limit, authority.share);
    if (max < oneToken)
        return internal::grantFraction(bucket, random);
    const bool scarce = bucket.available.value < max.value / internal::singleTokenDivisor;
    const std::int64_t available = bucket.available.value / oneToken.value;
    const std::int64_t granted = std::clamp<std::int64_t>(scarce ? 1 : requested, 0, available);
    if (granted > 0) {
        bucket.available = bucket.available - wholeTokens(granted);
        return { static_cast<int>(granted), {} };
    }
    const double missing = static_cast<double>(oneToken.value - bucket.available.value);
    const std::chrono::duration<double> wait(missing / (static_cast<double>(limit.perSecond.value) * authority.share));
    return { 0, std::chrono::duration_cast<std::chrono::milliseconds>(wait) + std::chrono::milliseconds(1) };
}

bool tryConsume(PrefetchedTokens& tokens, MonotonicTime now)
{
    if (tokens.count <= 0 || now >= tokens.expiresAt)
        return false;
    --tokens.count;
    return true;
}

} // namespace lacewingsail
