#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cassert>

namespace lacewingsail {

void refillUntil(SliceBucket& bucket, MonotonicTime now)
{
    if (now <= bucket.refilledAt)
        return;
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - bucket.refilledAt);
    const MicroTokens room = bucket.slice.burst - bucket.level;
    bucket.level = bucket.level + refill(bucket.slice.rate, elapsed, room, bucket.fraction);
    bucket.level = std::min(bucket.level, bucket.slice.burst);
    // Only whole microseconds are counted; the rest stays for the next refill.
    bucket.refilledAt += elapsed;
}

bool takeFrom(SliceBucket& bucket, MicroTokens amount)
{
    assert(amount.value >= 0);
    if (bucket.level < amount)
        return false;
    bucket.level = bucket.level - amount;
    return true;
}

} // namespace lacewingsail
