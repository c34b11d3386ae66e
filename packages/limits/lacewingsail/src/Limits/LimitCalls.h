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

/// \brief Sends draws and loan requests to other hosts without blocking and passes the replies to the ledgers. A host
/// that did not answer a draw is not chosen as a pooler for a while.
class LimitCalls {
public:
    LimitCalls(const HostId& self, const IncarnationId&, const std::string& fleetSecret, LimitLedgers&, PeerChannels&, Metrics&, const Clock&);
    /// Waits for the calls in flight.
    ~LimitCalls();
    LimitCalls(const LimitCalls&) = delete;
    LimitCalls& operator=(const LimitCalls&) = delete;

    /// \brief Requests blocks from a pooler.
    void draw(const Host& pooler, std::vector<BlockRequest>);

    /// \brief Requests loans of the host's slices. Does nothing while an earlier request to it is in flight.
    void borrow(const Host& lender, const std::vector<ClientAccountId>& accounts);

    /// \returns false if the last draw from the host failed less than unheardPeriod ago.
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
