#include <lacewingsail/Limits.h>

#include <cassert>

namespace lacewingsail {

EvenSplit::EvenSplit(int shares, const Clock& clock)
    : m_shares(shares)
    , m_clock(clock)
    , m_startedAt(clock.now())
{
    assert(shares > 0);
}

void EvenSplit::admit(const ClientAccount& account, MonotonicTime, Callback callback)
{
    const MonotonicTime now = m_clock.now();
    bool admitted = false;
    {
        const std::lock_guard lock(m_mutex);
        // A bucket was empty when the host started: a restart must not give the burst out a second time.
        TokenBucket& bucket = m_buckets.try_emplace(account.id, TokenBucket { {}, {}, {}, m_startedAt }).first->second;
        bucket.burst = account.burst;
        bucket.rate = account.rate;
        // The bucket counts in the account's whole rate, so one request costs as many tokens as there are shares.
        admitted = tryConsume(bucket, { oneToken.value * m_shares }, now);
    }
    callback(admitted ? ResultCode::Ok : ResultCode::RateExceeded);
}

} // namespace lacewingsail
