#pragma once

#include "LimitLedgers.h"

#include <lacewingsail/Observe.h>
#include <lacewingsail/Peers.h>
#include <lacewingsail/World.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace lacewingsail::internal {

/// \brief Draws from and borrows of other hosts without blocking; the ledgers get the answers. A host that does not
/// answer is left out for a while.
class LimitCalls {
public:
    LimitCalls(const HostId& self, const IncarnationId&, const std::string& fleetSecret, LimitLedgers&, PeerChannels&, Metrics&, const Clock&);
    /// Waits for the calls under way.
    ~LimitCalls();
    LimitCalls(const LimitCalls&) = delete;
    LimitCalls& operator=(const LimitCalls&) = delete;

    void draw(const Host& pooler, std::vector<BlockRequest>);

    /// \brief Does nothing while an earlier request to the same host is under way.
    void borrow(const Host& lender, const std::vector<ClientAccountId>& accounts);

    /// \returns whether the host answered its last call, or has not been tried for a while.
    bool isHeard(const HostId&) const;

private:
    struct DrawCall;
    struct LoanCall;

    void beginCall();
    void endCall();
    void recordHeard(const HostId&, bool heard);
    bool beginLoan(const HostId& lender);
    void endLoan(const HostId& lender);

    const HostId& m_self;
    const IncarnationId& m_incarnation;
    const std::string& m_fleetSecret;
    LimitLedgers& m_ledgers;
    PeerChannels& m_channels;
    Metrics& m_metrics;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_callEnded;
    int m_callsInFlight = 0;
    std::set<HostId> m_borrowing;
    std::map<HostId, MonotonicTime> m_unheardUntil;
};

} // namespace lacewingsail::internal
