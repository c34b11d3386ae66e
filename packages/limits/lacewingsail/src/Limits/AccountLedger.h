#pragma once

#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingsail {

/// \brief Block of tokens that a pooler granted to this host. Not spent after \ref expiresAt.
struct DrawnBlock {
    HostId pooler;
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
    MonotonicTime expiresAt {};
};

/// \brief A block that this host will no longer use, to be reported to its pooler.
struct ClosedBlock {
    HostId pooler;
    std::uint64_t id = 0;
    std::int64_t unspent = 0;
};

/// \brief A request that waits for a token.
struct Waiter {
    MonotonicTime expiresAt {};
    Admission::Callback callback;
};

/// \brief A waiting request that was admitted or refused.
struct CompletedWaiter {
    Admission::Callback callback;
    ResultCode code = ResultCode::RateExceeded;
};

/// \brief Recent request rate of one client account at this host.
struct Demand {
    /// Requests since \ref windowStart.
    std::int64_t count = 0;
    MonotonicTime windowStart {};
    /// Smoothed, in requests per second.
    std::int64_t rate = 0;
};

/// \brief State of one client account's limit at one host.
struct AccountLedger {
    LocalSlice localSlice;
    /// Present once this host has acted as the account's pooler.
    std::optional<LoanPool> pool;
    /// When a host that chose this host as the pooler last drew from the pool. Fallback draws do not count.
    MonotonicTime lastDrawAt {};
    /// When this host started to pool the account. While the previous pooler may still have slices on loan, this host
    /// asks for loans more often.
    MonotonicTime pooledSince {};
    MonotonicTime nextEagerBorrowAt {};
    std::vector<DrawnBlock> blocks;
    std::vector<ClosedBlock> closedBlocks;
    /// When closed blocks are reported even if no draw is due that can carry them.
    MonotonicTime reportAt {};
    std::vector<Waiter> waiters;
    Demand demand;
    bool drawInFlight = false;
    MonotonicTime nextDrawAt {};
    Duration drawBackoff {};
    /// The pooler that granted the last block. After a change of pooler it keeps the slices until its loans expire.
    std::optional<HostId> lastGrantingPooler;
    /// Whether the next draw goes to the previous pooler, not to the chosen one. Toggled by each draw that failed or was
    /// granted nothing.
    bool usesFallbackPooler = false;
};

/// \brief Takes one token from a block that has not expired or else from the local slice, which must be up to date
/// (see updateLocalSlice()).
/// \returns whether a token was available.
bool tryConsumeToken(AccountLedger&, MonotonicTime now);

/// \brief Removes from the waiters those that have expired and, in order, those for which a token is available. The
/// local slice must be up to date.
std::vector<CompletedWaiter> completeWaiters(AccountLedger&, MonotonicTime now);

/// \brief Moves blocks that are spent or about to expire to the closed blocks, and drops expired blocks.
void closeBlocks(AccountLedger&, MonotonicTime now);

/// \brief Counts one request and updates the rate.
void recordDemand(Demand&, MonotonicTime now);

/// \returns the number of tokens to draw for expected requests, in addition to those for waiting requests.
std::uint32_t reserveFor(const Demand&);

} // namespace lacewingsail
