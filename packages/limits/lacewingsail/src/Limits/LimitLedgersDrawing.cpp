#include <lacewingsail/Limits.h>

#include <algorithm>
#include <iterator>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds minDrawBackoff { 4 };
    constexpr std::chrono::milliseconds maxDrawBackoff { 32 };

    void runCallbacks(std::vector<CompletedWaiter>& completed)
    {
        for (CompletedWaiter& waiter : completed)
            waiter.callback(waiter.code);
    }

    void append(std::vector<CompletedWaiter>& all, std::vector<CompletedWaiter> more)
    {
        std::ranges::move(more, std::back_inserter(all));
    }

} // namespace internal

// Requests for the poolers of one account: usually one pooler, and a second one after the choice has changed.
std::map<HostId, BlockRequest> LimitLedgers::blockRequestsFor(AccountLedger& ledger, const ClientAccountId& account, MonotonicTime now)
{
    closeBlocks(ledger, now);
    std::map<HostId, BlockRequest> result;
    const bool draws = !ledger.waiters.empty() && !ledger.drawInFlight && now >= ledger.nextDrawAt;
    const bool reports = !ledger.closedBlocks.empty() && now >= ledger.reportAt;
    if (!draws && !reports)
        return result;
    if (draws) {
        const HostId chosen = poolerOf(account);
        const HostId previous = fallbackFor(ledger, account);
        const bool fallback = ledger.usesFallbackPooler && previous != chosen;
        result[fallback ? previous : chosen].demand = { static_cast<std::uint32_t>(ledger.waiters.size()), reserveFor(ledger.demand), fallback };
    }
    for (const ClosedBlock& closed : ledger.closedBlocks)
        result[closed.pooler].closed.push_back(closed);
    for (auto& [pooler, blockRequest] : result)
        blockRequest.account = account;
    ledger.closedBlocks.clear();
    ledger.drawInFlight = ledger.drawInFlight || draws;
    return result;
}

std::map<HostId, std::vector<BlockRequest>> LimitLedgers::dueBlockRequests()
{
    std::map<HostId, std::vector<BlockRequest>> result;
    for (const ClientAccountId& account : busyAccounts()) {
        Shard& shard = shardOf(account);
        const std::lock_guard lock(shard.mutex);
        AccountLedger& ledger = shard.ledgers[account];
        for (auto& [pooler, blockRequest] : blockRequestsFor(ledger, account, m_clock.now()))
            result[pooler].push_back(std::move(blockRequest));
        unmarkIfIdle(ledger, account);
    }
    return result;
}

void LimitLedgers::applyGrants(const HostId& pooler, std::span<const BlockRequest> requested, std::span<const BlockGrant> grants, MonotonicTime requestedAt)
{
    std::vector<CompletedWaiter> completed;
    for (const BlockRequest& blockRequest : requested) {
        if (blockRequest.demand.waiting == 0)
            continue;
        const auto grant = std::ranges::find(grants, blockRequest.account, &BlockGrant::account);
        Shard& shard = shardOf(blockRequest.account);
        const std::lock_guard lock(shard.mutex);
        const MonotonicTime now = m_clock.now();
        AccountLedger& ledger = findOrCreateLedger(shard, blockRequest.account, now);
        ledger.drawInFlight = false;
        if (grant != grants.end()) {
            ledger.blocks.push_back({ pooler, grant->block, grant->tokens, useDeadline(requestedAt, grant->term) });
            ledger.drawBackoff = Duration::zero();
            ledger.lastGrantingPooler = pooler;
        } else {
            ledger.usesFallbackPooler = !ledger.usesFallbackPooler;
            ledger.drawBackoff = std::clamp<Duration>(ledger.drawBackoff * 2, internal::minDrawBackoff, internal::maxDrawBackoff);
        }
        ledger.nextDrawAt = now + ledger.drawBackoff;
        internal::append(completed, completeWaiters(ledger, now));
    }
    internal::runCallbacks(completed);
}

void LimitLedgers::recordDrawFailure(std::span<const BlockRequest> requested)
{
    for (const BlockRequest& blockRequest : requested) {
        if (blockRequest.demand.waiting == 0)
            continue;
        Shard& shard = shardOf(blockRequest.account);
        const std::lock_guard lock(shard.mutex);
        AccountLedger& ledger = shard.ledgers[blockRequest.account];
        ledger.drawInFlight = false;
        ledger.usesFallbackPooler = !ledger.usesFallbackPooler;
    }
}

void LimitLedgers::refuseExpired()
{
    std::vector<CompletedWaiter> completed;
    for (const ClientAccountId& account : busyAccounts()) {
        Shard& shard = shardOf(account);
        const std::lock_guard lock(shard.mutex);
        const MonotonicTime now = m_clock.now();
        internal::append(completed, completeWaiters(findOrCreateLedger(shard, account, now), now));
    }
    internal::runCallbacks(completed);
}

} // namespace lacewingsail
