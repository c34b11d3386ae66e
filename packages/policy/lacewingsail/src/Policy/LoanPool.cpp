#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // Of the tokens left after those for waiting requests, at most one part in this many is granted as a reserve.
    constexpr std::int64_t reserveParts = 8;
    // A shorter block would expire on its way to the host.
    constexpr std::chrono::milliseconds minBlockDuration { 20 };

    Slice sumLoansUntil(const LoanPool& pool, MonotonicTime instant)
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

    MicroTokens openBlockTokens(const LoanPool& pool)
    {
        std::int64_t tokens = 0;
        for (const TokenBlock& block : pool.blocks)
            tokens += block.tokens;
        return wholeTokens(tokens);
    }

    // Tokens in open blocks count against the burst: they may be spent at the same time as all tokens in the bucket.
    void clampAvailable(LoanPool& pool)
    {
        const MicroTokens capacity = sumLoansUntil(pool, {}).burst - openBlockTokens(pool);
        pool.available = std::clamp(pool.available, MicroTokens {}, std::max(capacity, MicroTokens {}));
    }

    void refillBucket(LoanPool& pool, MonotonicTime until)
    {
        if (until <= pool.refilledAt)
            return;
        const Slice borrowed = sumLoansUntil(pool, {});
        const MicroTokens capacity = std::max(MicroTokens {}, borrowed.burst - openBlockTokens(pool) - pool.available);
        const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(until - pool.refilledAt);
        pool.available = pool.available + refill(borrowed.rate, elapsed, capacity, pool.fraction);
        pool.refilledAt += elapsed;
    }

    // A block ends with the last loan at the latest, so that a slice returns to its lender only after all blocks backed by
    // it have ended. While the loans expire, as after a change of pooler, blocks become shorter rather than stop.
    MonotonicTime blockEnd(const LoanPool& pool, std::chrono::milliseconds term, MonotonicTime now)
    {
        MonotonicTime lastExpiry {};
        for (const BorrowedSlice& loan : pool.loans)
            lastExpiry = std::max(lastExpiry, loan.expiresAt);
        return std::min(now + std::chrono::duration_cast<Duration>(term), lastExpiry);
    }

    MonotonicTime nextExpiry(const LoanPool& pool)
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
    for (MonotonicTime expiry = internal::nextExpiry(pool); expiry <= now; expiry = internal::nextExpiry(pool)) {
        internal::refillBucket(pool, expiry);
        std::erase_if(pool.loans, [expiry](const BorrowedSlice& loan) { return loan.expiresAt <= expiry; });
        // Tokens that the host has not reported as unspent may have been spent at the last moment.
        std::erase_if(pool.blocks, [expiry](const TokenBlock& block) { return block.expiresAt <= expiry; });
        internal::clampAvailable(pool);
    }
    internal::refillBucket(pool, now);
}

void addLoan(LoanPool& pool, const BorrowedSlice& loan, MicroTokens tokens, MonotonicTime now)
{
    expireAndRefill(pool, now);
    if (loan.expiresAt <= now)
        return;
    const auto known = std::ranges::find(pool.loans, loan.lender, &BorrowedSlice::lender);
    // The tokens of an older response that arrives late were accumulated in a period that was already refilled here.
    if (known != pool.loans.end() && known->expiresAt >= loan.expiresAt)
        return;
    if (known != pool.loans.end())
        pool.loans.erase(known);
    pool.loans.push_back(loan);
    pool.available = pool.available + tokens;
    internal::clampAvailable(pool);
}

std::optional<TokenBlock> grantBlock(LoanPool& pool, BlockDemand demand, std::chrono::milliseconds term, MonotonicTime now)
{
    expireAndRefill(pool, now);
    const MonotonicTime until = internal::blockEnd(pool, term, now);
    if (until < now + internal::minBlockDuration)
        return std::nullopt;
    // Only loans that last at least as long as the block back it.
    const MicroTokens backing = internal::sumLoansUntil(pool, until).burst - internal::openBlockTokens(pool);
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
    internal::clampAvailable(pool);
}

} // namespace lacewingsail
