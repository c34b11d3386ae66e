#include <lacewingsail/Limits.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    /// How long before its expiry a block is closed, so that its unspent tokens can be returned to the pooler.
    constexpr std::chrono::milliseconds blockReturnMargin { 150 };
    /// How long closed blocks wait for a draw that can carry their report.
    constexpr std::chrono::milliseconds maxReportDelay { 50 };
    constexpr std::chrono::milliseconds demandWindow { 250 };
    /// The reserve covers the expected requests of this duration.
    constexpr std::chrono::milliseconds reserveDuration { 100 };
    constexpr std::uint32_t maxReserve = 10'000;
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;

} // namespace internal

bool tryConsumeToken(AccountLedger& ledger, MonotonicTime now)
{
    for (DrawnBlock& block : ledger.blocks) {
        if (block.tokens == 0 || now >= block.expiresAt)
            continue;
        --block.tokens;
        return true;
    }
    return tryConsume(ledger.localSlice, now);
}

std::vector<CompletedWaiter> completeWaiters(AccountLedger& ledger, MonotonicTime now)
{
    std::vector<CompletedWaiter> completed;
    std::vector<Waiter> remaining;
    for (Waiter& waiter : ledger.waiters) {
        if (now >= waiter.expiresAt)
            completed.push_back({ std::move(waiter.callback), ResultCode::RateExceeded });
        else if (tryConsumeToken(ledger, now))
            completed.push_back({ std::move(waiter.callback), ResultCode::Ok });
        else
            remaining.push_back(std::move(waiter));
    }
    ledger.waiters = std::move(remaining);
    return completed;
}

void closeBlocks(AccountLedger& ledger, MonotonicTime now)
{
    const bool hadClosed = !ledger.closedBlocks.empty();
    for (const DrawnBlock& block : ledger.blocks) {
        const bool usable = now < block.expiresAt;
        if (usable && (block.tokens == 0 || now >= block.expiresAt - internal::blockReturnMargin))
            ledger.closedBlocks.push_back({ block.pooler, block.id, block.tokens });
    }
    std::erase_if(ledger.blocks, [now](const DrawnBlock& block) { return block.tokens == 0 || now >= block.expiresAt - internal::blockReturnMargin; });
    if (!hadClosed)
        ledger.reportAt = now + internal::maxReportDelay;
}

void recordDemand(Demand& demand, MonotonicTime now)
{
    ++demand.count;
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - demand.windowStart);
    if (elapsed < internal::demandWindow)
        return;
    // A window of more than a second contains a pause, and its rate does not predict the requests to come.
    const bool steady = elapsed.count() <= internal::microsecondsPerSecond;
    const std::int64_t rate = steady ? demand.count * internal::microsecondsPerSecond / elapsed.count() : 0;
    demand.rate = (demand.rate + rate) / 2;
    demand.count = 0;
    demand.windowStart = now;
}

std::uint32_t reserveFor(const Demand& demand)
{
    const std::int64_t tokens = demand.rate * internal::reserveDuration.count() / 1000;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(tokens, 0, internal::maxReserve));
}

} // namespace lacewingsail
