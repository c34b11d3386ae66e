#pragma once

#include "Slice.h"

#include <lacewingsail/World.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingsail {

/// \brief A slice that a pooler has on loan.
struct BorrowedSlice {
    HostId lender;
    Slice slice;
    /// When the pooler must stop to use it.
    MonotonicTime expiresAt {};
};

/// \brief Tokens that a host has drawn and may still spend.
struct TokenBlock {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
    MonotonicTime expiresAt {};
};

/// \brief One client account's bucket at its pooler, made of the slices on loan. What it holds and what is out in
/// blocks never exceed the burst of the loans together.
struct LoanPool {
    std::vector<BorrowedSlice> loans;
    std::vector<TokenBlock> blocks;
    MicroTokens available;
    MonotonicTime refilledAt {};
    /// What rounding has left over, in millionths of a micro-token.
    std::int64_t fraction = 0;
    std::uint64_t nextBlockId = 1;
};

/// \brief What a host wants to draw.
struct BlockDemand {
    /// For requests that wait.
    std::uint32_t waiting = 0;
    /// For requests that are expected.
    std::uint32_t reserve = 0;
    /// The drawer has chosen another pooler, which has nothing yet.
    bool fallback = false;
};

/// \brief Lets time pass: refills, and drops the loans and blocks that have lapsed.
void expireAndRefill(LoanPool&, MonotonicTime now);

/// \brief Adds a loan, or replaces the one of the same lender. One that has lapsed already is ignored, and so is one
/// that ends no later than the known one, together with its tokens.
/// \param level the tokens handed over with it.
void addLoan(LoanPool&, const BorrowedSlice&, MicroTokens available, MonotonicTime now);

/// \brief Gives out a block that lapses after \p term, or sooner if no loan lasts that long.
/// \returns nothing if there is no token to give.
std::optional<TokenBlock> grantBlock(LoanPool&, BlockDemand, std::chrono::milliseconds term, MonotonicTime now);

/// \brief Takes a block back. One that is not known, or has lapsed, is ignored.
/// \param unspent how many of its tokens the drawer did not spend and will not spend.
void closeBlock(LoanPool&, std::uint64_t id, std::int64_t unspent, MonotonicTime now);

} // namespace lacewingsail
