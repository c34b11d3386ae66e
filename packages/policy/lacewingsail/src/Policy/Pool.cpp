#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    /// Of what is left after the requests that wait, one part in this many is given as a reserve.
    constexpr std::int64_t reserveParts = 8;
    /// A block that ends sooner than this would lapse on its way.
    constexpr std::chrono::milliseconds shortestBlock { 20 };

    Slice lentUntil(const Pool& pool, MonotonicTime instant)
    {
        Slice sum;
        for (const PoolLoan& loan : pool.loans) {
            if (loan.until < instant)
                continue;
            sum.burst = sum.burst + loan.slice.burst;
            sum.rate.value += loan.slice.rate.value;
        }
        return sum;
    }

    MicroTokens out(const Pool& pool)
    {
        std::int64_t tokens = 0;
        for (const PoolBlock& block : pool.blocks)
            tokens += block.tokens;
        return wholeTokens(tokens);
    }

    // A token that is out counts against the burst: it may be spent at the same time as all that the bucket holds.
    void clamp(Pool& pool)
    {
        const MicroTokens room = lentUntil(pool, {}).burst - out(pool);
        pool.level = std::clamp(pool.level, MicroTokens {}, std::max(room, MicroTokens {}));
    }

    void accrue(Pool& pool, MonotonicTime until)
    {
        if (until <= pool.refilledAt)
            return;
        const Slice lent = lentUntil(pool, {});
        const MicroTokens room = std::max(MicroTokens {}, lent.burst - out(pool) - pool.level);
        const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(until - pool.refilledAt);
        pool.level = pool.level + refill(lent.rate, elapsed, room, pool.fraction);
        pool.refilledAt += elapsed;
    }

    // A block ends with the last loan at the latest, so that a slice goes back only after all blocks drawn on it. While
    // the loans run out, as after a change of pooler, blocks become shorter instead of ceasing.
    MonotonicTime blockEnd(const Pool& pool, std::chrono::milliseconds term, MonotonicTime now)
    {
        MonotonicTime lastLoan {};
        for (const PoolLoan& loan : pool.loans)
            lastLoan = std::max(lastLoan, loan.until);
        return std::min(now + std::chrono::duration_cast<Duration>(term), lastLoan);
    }

    MonotonicTime nextLapse(const Pool& pool)
    {
        MonotonicTime next = MonotonicTime::max();
        for (const PoolLoan& loan : pool.loans)
            next = std::min(next, loan.until);
        for (const PoolBlock& block : pool.blocks)
            next = std::min(next, block.until);
        return next;
    }

} // namespace internal

void advance(Pool& pool, MonotonicTime now)
{
    for (MonotonicTime lapse = internal::nextLapse(pool); lapse <= now; lapse = internal::nextLapse(pool)) {
        internal::accrue(pool, lapse);
        std::erase_if(pool.loans, [lapse](const PoolLoan& loan) { return loan.until <= lapse; });
        // What the drawer did not report may have been spent at the last moment.
        std::erase_if(pool.blocks, [lapse](const PoolBlock& block) { return block.until <= lapse; });
        internal::clamp(pool);
    }
    internal::accrue(pool, now);
}

void addLoan(Pool& pool, const PoolLoan& loan, MicroTokens level, MonotonicTime now)
{
    advance(pool, now);
    if (loan.until <= now)
        return;
    const auto known = std::ranges::find(pool.loans, loan.lender, &PoolLoan::lender);
    // An older answer that arrives late brings tokens from before the time for which the slice has been refilled here.
    if (known != pool.loans.end() && known->until >= loan.until)
        return;
    if (known != pool.loans.end())
        pool.loans.erase(known);
    pool.loans.push_back(loan);
    pool.level = pool.level + level;
    internal::clamp(pool);
}

std::optional<PoolBlock> drawBlock(Pool& pool, DrawDemand demand, std::chrono::milliseconds term, MonotonicTime now)
{
    advance(pool, now);
    const MonotonicTime until = internal::blockEnd(pool, term, now);
    if (until < now + internal::shortestBlock)
        return std::nullopt;
    // Only loans that outlast the block stand behind it.
    const MicroTokens backing = internal::lentUntil(pool, until).burst - internal::out(pool);
    const std::int64_t available = std::max<std::int64_t>(0, std::min(pool.level, backing).value / oneToken.value);
    const std::int64_t forWaiting = std::min<std::int64_t>(demand.waiting, available);
    const std::int64_t forReserve = std::min<std::int64_t>(demand.reserve, (available - forWaiting) / internal::reserveParts);
    if (forWaiting + forReserve == 0)
        return std::nullopt;
    const PoolBlock block { pool.nextBlock++, forWaiting + forReserve, until };
    pool.level = pool.level - wholeTokens(block.tokens);
    pool.blocks.push_back(block);
    return block;
}

void closeBlock(Pool& pool, std::uint64_t id, std::int64_t unspent, MonotonicTime now)
{
    advance(pool, now);
    const auto block = std::ranges::find(pool.blocks, id, &PoolBlock::id);
    if (block == pool.blocks.end())
        return;
    pool.level = pool.level + wholeTokens(std::clamp<std::int64_t>(unspent, 0, block->tokens));
    pool.blocks.erase(block);
    internal::clamp(pool);
}

} // namespace lacewingsail
