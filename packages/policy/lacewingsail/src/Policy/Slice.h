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

/// \brief Part of a client account's limit that belongs to one or several limit slots. The limit of every account is
/// divided among the same slots, each of which is leased to at most one host at a time.
struct Slice {
    MicroTokens burst;
    MicroTokensPerSecond rate;

    bool operator==(const Slice&) const = default;
};

/// \brief A slot that this host holds.
struct HeldSlot {
    SlotIndex slot {};
    /// No host held the slot before, so its buckets started full; otherwise they started empty at \ref since.
    bool startedFull = false;
    MonotonicTime since {};

    bool operator==(const HeldSlot&) const = default;
};

/// \brief All slots that a host holds, and when their lease ends.
struct HeldSlots {
    std::uint32_t slotCount = 0;
    /// In ascending order.
    std::vector<HeldSlot> slots;
    /// The host must not use the slots from this instant on.
    MonotonicTime expiresAt {};
};

/// \brief Divides an account's limit among \p slotCount slots. The slices add up to exactly the limit, and none
/// shrinks when the limit grows. The burst is divided into whole tokens; rendezvous hashing selects the slots that get
/// one of the remaining tokens. Allocates memory; O(slotCount log slotCount).
/// \returns the slices of \p slots, aligned with them.
std::vector<Slice> slicesForSlots(const ClientAccount&, std::span<const HeldSlot> slots, std::uint32_t slotCount);

/// \returns the sum of \p slices.
Slice sumSlices(std::span<const Slice> slices);

/// \returns the tokens that accumulate at \p rate in \p elapsed, rounded down, at most \p maxTokens.
/// \param fraction rounding remainder of earlier calls, in millionths of a micro-token; updated.
MicroTokens refill(MicroTokensPerSecond rate, std::chrono::microseconds elapsed, MicroTokens maxTokens, std::int64_t& fraction);

/// \returns the tokens that the buckets of \p slots hold at \p now if none was ever taken from them.
/// \param slices aligned with \p slots.
MicroTokens tokensIfUnused(std::span<const HeldSlot> slots, std::span<const Slice> slices, MonotonicTime now);

} // namespace lacewingsail
