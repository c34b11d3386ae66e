#pragma once

#include "Slice.h"
#include "SliceBucket.h"

#include <lacewingsail/World.h>

#include <chrono>
#include <optional>
#include <vector>

namespace lacewingsail {

/// \brief Part of a client account's limit that belongs to the slots of this host. It is either used by this host or
/// lent as a whole.
struct LocalSlice {
    SliceBucket bucket;
    /// The slots included in the bucket, in ascending order.
    std::vector<HeldSlot> slots;
    /// End of the lease on the slots; the slice is neither used nor lent after it.
    MonotonicTime slotsExpireAt {};
    /// The account's limit for which the bucket was computed.
    TokensPerSecond rate;
    MicroTokens burst;
    /// Has the slice until \ref lentUntil. Removed by the first updateLocalSlice() after that; empty if the slice is not
    /// lent.
    IncarnationId borrower;
    MonotonicTime lentUntil {};
};

/// \brief A slice lent for a limited time, with the tokens in it.
struct LentSlice {
    Slice slice;
    MicroTokens available;
    std::chrono::milliseconds term { 0 };
};

/// \returns whether a borrower has the slice at \p now.
bool isLent(const LocalSlice&, MonotonicTime now);

/// \brief Updates the slice for the current time, the held slots and the account's limit.
void updateLocalSlice(LocalSlice&, const ClientAccount&, const HeldSlots&, MonotonicTime now);

/// \brief Takes one token for a request of this host. Must be preceded by updateLocalSlice().
bool tryConsume(LocalSlice&, MonotonicTime now);

/// \brief Lends the slice, or extends the loan of the same borrower, for \p term but not beyond the lease on the slots.
/// Must be preceded by updateLocalSlice().
/// \returns nothing if another borrower has the slice or there is nothing to lend.
std::optional<LentSlice> lend(LocalSlice&, const IncarnationId& borrower, std::chrono::milliseconds term, MonotonicTime now);

} // namespace lacewingsail
