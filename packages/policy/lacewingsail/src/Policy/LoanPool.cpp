#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    /// Of what is left after the requests that wait, one part in this many is given as a reserve.
    constexpr std::int64_t reserveParts = 8;
    /// A block that ends sooner than this would lapse on its way.
    constexpr std::chrono::milliseconds shortestBlock { 20 };

    Slice lentUntil(const LoanPool& pool, MonotonicTime instant)
    {
        Slice sum;
        for (const BorrowedSlice& loan : pool.loans) {
            if (loan.expiresAt < instant)
                continue;
            sum.burst = sum.burst + loan.slice.burst;
            sum.rate.value += loan.slice.rate.value;
        }
        return sum;
    }

    MicroTokens out(const LoanPool& pool)
    {
        std::int64_t tokens = 0;
        for (const TokenBlock& block : pool.blocks)
            tokens += block.tokens;
        return wholeTokens(tokens);
    }

    // A token that is out counts against the burst: it may be spent at the same time as all that the bucket holds.
    void clamp(LoanPool& pool)
    {
        const MicroTokens room = lentUntil(pool, {}).burst - out(pool);
        pool.available = std::clamp(pool.available, MicroTokens {}, std::max(room, MicroTokens {}));
    }

    void accrue(LoanPool& pool, MonotonicTime until)
    {
        if (until <= pool.refilledAt)
            return;
        const Slice lent = lentUntil(pool, {});
        const MicroTokens room = std::max(MicroTokens {}, lent.burst - out(pool) - pool.available);
        const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(until - pool.refilledAt);
        pool.available = pool.available + refill(lent.rate, elapsed, room, pool.fraction);
        pool.refilledAt += elapsed;
    }

    // A block ends with the last loan at the latest, so that a slice goes back only after all blocks drawn on it. While
    // the loans run out, as after a change of pooler, blocks become shorter instead of ceasing.
    MonotonicTime blockEnd(const LoanPool& pool, std::chrono::milliseconds term, MonotonicTime now)
    {
        MonotonicTime lastLoan {};
        for (const BorrowedSlice& loan : pool.loans)
            lastLoan = std::max(lastLoan, loan.expiresAt);
        return std::min(now + std::chrono::duration_cast<Duration>(term), lastLoan);
    }

    MonotonicTime nextLapse(const LoanPool& pool)
    {
        MonotonicTime next = MonotonicTime::max();
        for (const BorrowedSlice& loan : pool.loans)
            next = std::min(next, loan.expiresAt);
        for (const TokenBlock& block : pool.blocks)
            next = std::min(next, block.expiresAt);
        return next;
    }

} // namespace internal

void expireAndRefill(LoanPool& pool, MonotonicTime now)
{
    for (MonotonicTime lapse = internal::nextLapse(pool); lapse <= now; lapse = internal::nextLapse(pool)) {
        internal::accrue(pool, lapse);
        std::erase_if(pool.loans, [lapse](const BorrowedSlice& loan) { return loan.expiresAt <= lapse; });
        // What the drawer did not report may have been spent at the last moment.
        std::erase_if(pool.blocks, [lapse](const TokenBlock& block) { return block.expiresAt <= lapse; });
        internal::clamp(pool);
    }
    internal::accrue(pool, now);
}

void addLoan(LoanPool& pool, const BorrowedSlice& loan, MicroTokens level, MonotonicTime now)
{
    expireAndRefill(pool, now);
    if (loan.expiresAt <= now)
        return;
    const auto known = std::ranges::find(pool.loans, loan.lender, &BorrowedSlice::lender);
    // An older answer that arrives late brings tokens from before the time for which the slice has been refilled here.
    if (known != pool.loans.end() && known->expiresAt >= loan.expiresAt)
        return;
    if (known != pool.loans.end())
        pool.loans.erase(known);
    pool.loans.push_back(loan);
    pool.available = pool.available + level;
    internal::clamp(pool);
}

std::optional<TokenBlock> grantBlock(LoanPool& pool, BlockDemand demand, std::chrono::milliseconds term, MonotonicTime now)
{
    expireAndRefill(pool, now);
    const MonotonicTime until = internal::blockEnd(pool, term, now);
    if (until < now + internal::shortestBlock)
        return std::nullopt;
    // Only loans that outlast the block stand behind it.
    const MicroTokens backing = internal::lentUntil(pool, until).burst - internal::out(pool);
    const std::int64_t available = std::max<std::int64_t>(0, std::min(pool.available, backing).value / oneToken.value);
    const std::int64_t forWaiting = std::min<std::int64_t>(demand.waiting, available);
    const std::int64_t forReserve = std::min<std::int64_t>(demand.reserve, (available - forWaiting) / internal::reserveParts);
    if (forWaiting + forReserve == 0)
        return std::nullopt;
    const TokenBlock block { pool.nextBlockId++, forWaiting + forReserve, until };
    pool.available = pool.available - wholeTokens(block.tokens);
    pool.blocks.push_back(block);
    return block;
}

void closeBlock(LoanPool& pool, std::uint64_t id, std::int64_t unspent, MonotonicTime now)
{
    expireAndRefill(pool, now);
    const auto block = std::ranges::find(pool.blocks, id, &TokenBlock::id);
    if (block == pool.blocks.end())
        return;
    pool.available = pool.available + wholeTokens(std::clamp<std::int64_t>(unspent, 0, block->tokens));
    pool.blocks.erase(block);
    internal::clamp(pool);
}

} // namespace lacewingsail
