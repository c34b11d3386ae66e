#pragma once

#include "Slice.h"
#include "SliceBucket.h"

#include <lacewingsail/World.h>

#include <chrono>
#include <optional>
#include <vector>

namespace lacewingsail {

/// \brief What this host's slots carry of one client account's limit: used by the host itself or lent as a whole.
struct LocalSlice {
    SliceBucket bucket;
    /// The slots counted in the bucket, in ascending order.
    std::vector<HeldSlot> slots;
    /// End of the lease on the slots; the slice is not used or lent for longer.
    MonotonicTime slotsExpireAt {};
    /// The limit that the bucket was made for.
    TokensPerSecond rate;
    MicroTokens burst;
    /// Who has the slice until \ref lentUntil; empty if it was never lent.
    IncarnationId borrower;
    MonotonicTime lentUntil {};
};

/// \brief A slice lent for a term, together with the tokens in it.
struct LentSlice {
    Slice slice;
    MicroTokens available;
    std::chrono::milliseconds term { 0 };
};

/// \returns whether a borrower has the slice at \p now.
bool isLent(const LocalSlice&, MonotonicTime now);

/// \brief Brings the slice up to date with the time, the held slots and the account's limit.
void updateLocalSlice(LocalSlice&, const ClientAccount&, const HeldSlots&, MonotonicTime now);

/// \brief Takes one token for a request of this host. The slice must be settled.
bool tryConsume(LocalSlice&, MonotonicTime now);

/// \brief Lends the slice, or goes on lending it to the same borrower. The slice must be settled.
/// \returns nothing if another borrower has the slice or there is nothing to lend.
std::optional<LentSlice> lend(LocalSlice&, const IncarnationId& borrower, std::chrono::milliseconds term, MonotonicTime now);

} // namespace lacewingsail
