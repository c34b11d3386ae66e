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
        // Buckets start empty at the start of the host, since a restart must not grant the burst a second time.
        TokenBucket& bucket = m_buckets.try_emplace(account.id, TokenBucket { {}, {}, {}, m_startedAt }).first->second;
        bucket.burst = account.burst;
        bucket.rate = account.rate;
        // The bucket has the whole rate and burst of the account, so a request costs one token for each share.
        admitted = tryConsume(bucket, { oneToken.value * m_shares }, now);
    }
    callback(admitted ? ResultCode::Ok : ResultCode::RateExceeded);
}

} // namespace lacewingsail
