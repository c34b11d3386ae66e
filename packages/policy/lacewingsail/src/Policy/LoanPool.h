#pragma once

#include "Slice.h"

#include <lacewingsail/World.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingsail {

/// \brief A slice that the pooler of a client account (see LoanPool) has borrowed from a host.
struct BorrowedSlice {
    HostId lender;
    Slice slice;
    /// When the pooler must stop using it.
    MonotonicTime expiresAt {};
};

/// \brief Tokens that were granted to a host and may still be spent.
struct TokenBlock {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
    MonotonicTime expiresAt {};
};

/// \brief Token bucket of one client account at its pooler, the host that borrows the slices of the others. Its
/// available tokens and those in open blocks together never exceed the sum of the bursts of the loans.
struct LoanPool {
    std::vector<BorrowedSlice> loans;
    std::vector<TokenBlock> blocks;
    MicroTokens available;
    MonotonicTime refilledAt {};
    /// Rounding remainder of the refills, in millionths of a micro-token.
    std::int64_t fraction = 0;
    std::uint64_t nextBlockId = 1;
};

/// \brief Tokens that a host asks for.
struct BlockDemand {
    /// For requests that are waiting.
    std::uint32_t waiting = 0;
    /// For requests that are expected.
    std::uint32_t reserve = 0;
    /// The host asks this pooler because the one that it chose has no tokens yet.
    bool fallback = false;
};

/// \brief Refills the bucket up to \p now and removes expired loans and blocks.
void expireAndRefill(LoanPool&, MonotonicTime now);

/// \brief Adds a loan, or replaces the loan of the same lender. Ignored together with its tokens if it has expired, or if
/// it expires no later than the present loan of the lender.
/// \param tokens the tokens transferred with the loan.
void addLoan(LoanPool&, const BorrowedSlice&, MicroTokens tokens, MonotonicTime now);

/// \brief Grants a block that expires after \p term, or earlier if no loan lasts that long.
/// \returns nothing if no token is available.
std::optional<TokenBlock> grantBlock(LoanPool&, BlockDemand, std::chrono::milliseconds term, MonotonicTime now);

/// \brief Closes a block and returns its unspent tokens to the bucket. Unknown and expired blocks are ignored.
/// \param unspent number of its tokens that the host has not spent and will not spend.
void closeBlock(LoanPool&, std::uint64_t id, std::int64_t unspent, MonotonicTime now);

} // namespace lacewingsail
