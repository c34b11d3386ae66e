#include <lacewingsail/Limits.h>

#include <algorithm>
#include <iterator>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds firstDrawPause { 4 };
    constexpr std::chrono::milliseconds longestDrawPause { 32 };

    void answerAll(std::vector<SettledWaiter>& settled)
    {
        for (SettledWaiter& waiter : settled)
            waiter.answer(waiter.code);
    }

    void append(std::vector<SettledWaiter>& all, std::vector<SettledWaiter> more)
    {
        std::ranges::move(more, std::back_inserter(all));
    }

} // namespace internal

// What is to be said to one account's poolers: usually one, and another one while the choice has just changed.
std::map<HostId, DrawWish> LimitLedgers::wishesOf(AccountLedger& ledger, const ClientAccountId& account, MonotonicTime now)
{
    closeBlocks(ledger, now);
    std::map<HostId, DrawWish> result;
    const bool draws = !ledger.waiters.empty() && !ledger.drawing && now >= ledger.nextDrawAt;
    const bool reports = !ledger.closed.empty() && now >= ledger.reportAt;
    if (!draws && !reports)
        return result;
    if (draws) {
        const HostId chosen = poolerOf(account);
        const HostId last = fallbackFor(ledger, account);
        const bool fallback = ledger.drawsFallback && last != chosen;
        result[fallback ? last : chosen].demand = { static_cast<std::uint32_t>(ledger.waiters.size()), reserveFor(ledger.demand), fallback };
    }
    for (const ClosedBlock& closed : ledger.closed)
        result[closed.pooler].closed.push_back(closed);
    for (auto& [pooler, wish] : result)
        wish.account = account;
    ledger.closed.clear();
    ledger.drawing = ledger.drawing || draws;
    return result;
}

std::map<HostId, std::vector<DrawWish>> LimitLedgers::wishes()
{
    std::map<HostId, std::vector<DrawWish>> result;
    for (const ClientAccountId& account : busyAccounts()) {
        Shard& shard = shardOf(account);
        const std::lock_guard lock(shard.mutex);
        AccountLedger& ledger = shard.ledgers[account];
        for (auto& [pooler, wish] : wishesOf(ledger, account, m_clock.now()))
            result[pooler].push_back(std::move(wish));
        unmarkIfIdle(ledger, account);
    }
    return result;
}

void LimitLedgers::takeGrants(const HostId& pooler, std::span<const DrawWish> asked, std::span<const BlockGrant> grants, MonotonicTime askedAt)
{
    std::vector<SettledWaiter> settled;
    for (const DrawWish& wish : asked) {
        if (wish.demand.waiting == 0)
            continue;
        const auto grant = std::ranges::find(grants, wish.account, &BlockGrant::account);
        Shard& shard = shardOf(wish.account);
        const std::lock_guard lock(shard.mutex);
        const MonotonicTime now = m_clock.now();
        AccountLedger& ledger = findOrMake(shard, wish.account, now);
        ledger.drawing = false;
        if (grant != grants.end()) {
            ledger.blocks.push_back({ pooler, grant->block, grant->tokens, useDeadline(askedAt, grant->term) });
            ledger.drawPause = Duration::zero();
            ledger.lastGrantor = pooler;
        } else {
            ledger.drawsFallback = !ledger.drawsFallback;
            ledger.drawPause = std::clamp<Duration>(ledger.drawPause * 2, internal::firstDrawPause, internal::longestDrawPause);
        }
        ledger.nextDrawAt = now + ledger.drawPause;
        internal::append(settled, settleWaiters(ledger, now));
    }
    internal::answerAll(settled);
}

void LimitLedgers::failDraw(std::span<const DrawWish> asked)
{
    for (const DrawWish& wish : asked) {
        if (wish.demand.waiting == 0)
            continue;
        Shard& shard = shardOf(wish.account);
        const std::lock_guard lock(shard.mutex);
        AccountLedger& ledger = shard.ledgers[wish.account];
        ledger.drawing = false;
        ledger.drawsFallback = !ledger.drawsFallback;
    }
}

void LimitLedgers::refuseLate()
{
    std::vector<SettledWaiter> settled;
    for (const ClientAccountId& account : busyAccounts()) {
        Shard& shard = shardOf(account);
        const std::lock_guard lock(shard.mutex);
        const MonotonicTime now = m_clock.now();
        internal::append(settled, settleWaiters(findOrMake(shard, account, now), now));
    }
    internal::answerAll(settled);
}

} // namespace lacewingsail
