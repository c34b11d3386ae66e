#pragma once

#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include <chrono>
#include <map>
#include <mutex>
#include <vector>

namespace lacewingsail {

/// \brief Notes what this host hears about withdrawals and moves the deadline of its KeyFreshness on.
/// Safe to use from several threads.
class KeyFreshnessTracker {
public:
    /// \param bound how long a set of withdrawn keys may be trusted without news.
    KeyFreshnessTracker(KeyFreshness&, std::chrono::milliseconds bound, HostId self);

    /// \brief The whole stream of withdrawals was known as of this instant.
    void heardLog(MonotonicTime asOf);

    /// \brief All that another host knew was known as of this instant.
    void heardPeer(const HostId&, MonotonicTime asOf);

    /// \brief Works the deadline out anew.
    void refresh(MonotonicTime now, const std::vector<Host>& listed);

    /// \returns as of when the whole stream of withdrawals was known; the epoch of the clock if never.
    MonotonicTime logKnownAsOf() const;

private:
    KeyFreshness& m_freshness;
    const std::chrono::milliseconds m_bound;
    const HostId m_self;
    mutable std::mutex m_mutex;
    MonotonicTime m_logHeard {};
    std::map<HostId, MonotonicTime> m_peersHeard;
};

} // namespace lacewingsail
