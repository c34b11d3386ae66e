#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cassert>

namespace lacewingsail {

void refillUntil(SliceBucket& bucket, MonotonicTime now)
{
    if (now <= bucket.refilledAt)
        return;
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - bucket.refilledAt);
    const MicroTokens capacity = bucket.slice.burst - bucket.available;
    bucket.available = bucket.available + refill(bucket.slice.rate, elapsed, capacity, bucket.fraction);
    bucket.available = std::min(bucket.available, bucket.slice.burst);
    // Only whole microseconds are counted; the remainder stays for the next refill.
    bucket.refilledAt += elapsed;
}

bool tryConsume(SliceBucket& bucket, MicroTokens amount)
{
    assert(amount.value >= 0);
    if (bucket.available < amount)
        return false;
    bucket.available = bucket.available - amount;
    return true;
}

} // namespace lacewingsail
