#pragma once

#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingsail {

/// \brief Tokens that this host has drawn from a pooler and may spend until an instant.
struct DrawnBlock {
    HostId pooler;
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
    MonotonicTime expiresAt {};
};

/// \brief A block that this host will no longer use; its pooler is to be told.
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

/// \brief A request that has waited, with its outcome.
struct CompletedWaiter {
    Admission::Callback callback;
    ResultCode code = ResultCode::RateExceeded;
};

/// \brief Recent requests of one client account at this host.
struct Demand {
    std::int64_t count = 0;
    MonotonicTime windowStart {};
    /// Smoothed, in requests per second.
    std::int64_t rate = 0;
};

/// \brief All that one host keeps about one client account's limit.
struct AccountLedger {
    LocalSlice localSlice;
    std::optional<LoanPool> pool;
    /// When a host last drew from the pool.
    MonotonicTime lastDrawAt {};
    /// When the pool began; for as long as the last pooler may have slices it asks for loans more often.
    MonotonicTime pooledSince {};
    MonotonicTime nextEagerBorrowAt {};
    std::vector<DrawnBlock> blocks;
    std::vector<ClosedBlock> closedBlocks;
    /// When closed blocks are reported if there is no draw to report them with.
    MonotonicTime reportAt {};
    std::vector<Waiter> waiters;
    Demand demand;
    bool drawInFlight = false;
    MonotonicTime nextDrawAt {};
    Duration drawBackoff {};
    /// Who gave the last block. When the pooler changes it still has the slices for a while.
    std::optional<HostId> lastGrantingPooler;
    /// Whether the next draw goes to the last pooler, since the chosen one gave nothing.
    bool usesFallbackPooler = false;
};

/// \brief Takes one token out of a block that is still good, or else out of the own slice, which must be settled.
/// \returns whether there was one.
bool tryConsumeToken(AccountLedger&, MonotonicTime now);

/// \brief Puts the requests that have waited too long aside, and those for which there are tokens, in order.
/// The slice must be settled.
std::vector<CompletedWaiter> completeWaiters(AccountLedger&, MonotonicTime now);

/// \brief Moves blocks that are spent, or about to lapse, to the closed ones; drops those that have lapsed.
void closeBlocks(AccountLedger&, MonotonicTime now);

/// \brief Counts one request.
void recordDemand(Demand&, MonotonicTime now);

/// \returns how many tokens to draw beyond those for the requests that wait.
std::uint32_t reserveFor(const Demand&);

} // namespace lacewingsail
