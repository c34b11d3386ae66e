#include <lacewingsail/Limits.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    /// Time before its end at which what is left of a block goes back.
    constexpr std::chrono::milliseconds returnAhead { 150 };
    /// How long closed blocks wait for a draw to be reported with.
    constexpr std::chrono::milliseconds longestReportDelay { 50 };
    constexpr std::chrono::milliseconds demandWindow { 250 };
    /// The time for which a reserve is drawn.
    constexpr std::chrono::milliseconds reserveTime { 100 };
    constexpr std::uint32_t largestReserve = 10'000;
    constexpr std::int64_t millionths = 1'000'000;

} // namespace internal

bool takeToken(AccountLedger& ledger, MonotonicTime now)
{
    for (DrawnBlock& block : ledger.blocks) {
        if (block.tokens == 0 || now >= block.until)
            continue;
        --block.tokens;
        return true;
    }
    return tryConsume(ledger.own, now);
}

std::vector<SettledWaiter> settleWaiters(AccountLedger& ledger, MonotonicTime now)
{
    std::vector<SettledWaiter> settled;
    std::vector<Waiter> left;
    for (Waiter& waiter : ledger.waiters) {
        if (now >= waiter.giveUpAt)
            settled.push_back({ std::move(waiter.answer), ResultCode::RateExceeded });
        else if (takeToken(ledger, now))
            settled.push_back({ std::move(waiter.answer), ResultCode::Ok });
        else
            left.push_back(std::move(waiter));
    }
    ledger.waiters = std::move(left);
    return settled;
}

void closeBlocks(AccountLedger& ledger, MonotonicTime now)
{
    const bool hadClosed = !ledger.closed.empty();
    for (const DrawnBlock& block : ledger.blocks) {
        const bool good = now < block.until;
        if (good && (block.tokens == 0 || now >= block.until - internal::returnAhead))
            ledger.closed.push_back({ block.pooler, block.id, block.tokens });
    }
    std::erase_if(ledger.blocks, [now](const DrawnBlock& block) { return block.tokens == 0 || now >= block.until - internal::returnAhead; });
    if (!hadClosed)
        ledger.reportAt = now + internal::longestReportDelay;
}

void countDemand(Demand& demand, MonotonicTime now)
{
    ++demand.count;
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - demand.since);
    if (elapsed < internal::demandWindow)
        return;
    // A pause of a second or more tells nothing about the requests to come.
    const bool steady = elapsed.count() <= internal::millionths;
    const std::int64_t rate = steady ? demand.count * internal::millionths / elapsed.count() : 0;
    demand.rate = (demand.rate + rate) / 2;
    demand.count = 0;
    demand.since = now;
}

std::uint32_t reserveFor(const Demand& demand)
{
    const std::int64_t tokens = demand.rate * internal::reserveTime.count() / 1000;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(tokens, 0, internal::largestReserve));
}

} // namespace lacewingsail
