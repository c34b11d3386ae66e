#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

namespace lacewingsail {

/// \brief Refill rate in millionths of a token per second.
struct MicroTokensPerSecond {
    std::int64_t value = 0;

    auto operator<=>(const MicroTokensPerSecond&) const = default;
};

/// \brief The part of a client account's limit that a limit slot carries, or several of them.
struct Slice {
    MicroTokens burst;
    MicroTokensPerSecond rate;

    bool operator==(const Slice&) const = default;
};

/// \brief A slot that this host holds.
struct HeldSlot {
    SlotIndex slot {};
    /// Nobody had held the slot before, so that its buckets began full; otherwise they began empty at \ref since.
    bool startedFull = false;
    MonotonicTime since {};

    bool operator==(const HeldSlot&) const = default;
};

/// \brief All slots that a host holds, and until when.
struct HeldSlots {
    std::uint32_t slotCount = 0;
    /// In ascending order.
    std::vector<HeldSlot> slots;
    /// The host must not use the slots at this instant or later.
    MonotonicTime expiresAt {};
};

/// \brief Divides an account's limit among \p slotCount slots. The slices add up to exactly the limit, and none
/// shrinks when the limit grows. Burst comes in whole tokens; which slots get one more is drawn by rendezvous.
/// Allocates; costs slotCount * log(slotCount).
/// \returns the slices of \p slots, aligned with them.
std::vector<Slice> slicesForSlots(const ClientAccount&, std::span<const HeldSlot> slots, std::uint32_t slotCount);

/// \returns the sum of \p slices.
Slice sumSlices(std::span<const Slice> slices);

/// \brief What \p rate yields in \p elapsed, rounded down, but at most \p most.
/// \param fraction what rounding left over from earlier calls, in millionths of a micro-token; updated.
MicroTokens refill(MicroTokensPerSecond rate, std::chrono::microseconds elapsed, MicroTokens most, std::int64_t& fraction);

/// \returns what buckets of \p slots from which nothing was ever taken hold at \p now.
/// \param slices aligned with \p slots.
MicroTokens tokensIfUnused(std::span<const HeldSlot> slots, std::span<const Slice> slices, MonotonicTime now);

} // namespace lacewingsail
