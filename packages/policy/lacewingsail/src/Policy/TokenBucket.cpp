#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // After this time a bucket with any valid burst is full; the bound keeps the product within 64 bits.
    constexpr std::chrono::seconds maxRefillTime { 86'400 };

} // namespace internal

void refillUntil(TokenBucket& bucket, MonotonicTime now)
{
    if (now <= bucket.refilledAt)
        return;
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - bucket.refilledAt);
    const auto counted = std::min<std::chrono::microseconds>(elapsed, internal::maxRefillTime);
    bucket.available = std::min(bucket.burst, bucket.available + refill(bucket.rate, counted));
    // Only whole microseconds are counted; the remainder stays for the next refill.
    bucket.refilledAt += elapsed;
}

bool tryConsume(TokenBucket& bucket, MicroTokens amount, MonotonicTime now)
{
    refillUntil(bucket, now);
    if (bucket.available < amount)
        return false;
    bucket.available = bucket.available - amount;
    return true;
}

} // namespace lacewingsail
