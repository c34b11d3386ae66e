#pragma once

#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include <mutex>
#include <unordered_map>

namespace lacewingsail {

/// \brief Gives every host the same fixed share of each client account's rate and burst. The limit is never exceeded
/// while there are no more hosts than shares. If the requests are not spread evenly over the hosts, requests within the
/// limit are refused.
class EvenSplit final : public Admission {
public:
    EvenSplit(int shares, const Clock&);

    void admit(const ClientAccount&, MonotonicTime deadline, Callback) override;

private:
    const int m_shares;
    const Clock& m_clock;
    const MonotonicTime m_startedAt;
    std::mutex m_mutex;
    std::unordered_map<ClientAccountId, TokenBucket> m_buckets;
};

} // namespace lacewingsail
