#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cassert>
#include <string>

namespace lacewingsail {

namespace internal {

    constexpr std::int64_t microsecondsPerSecond = 1'000'000;

    std::vector<std::uint64_t> slotWeights(const ClientAccountId& account, std::uint32_t slotCount)
    {
        std::vector<std::uint64_t> weights(slotCount);
        for (std::uint32_t slot = 0; slot < slotCount; ++slot)
            weights[slot] = rendezvousWeight(account.value(), std::to_string(slot));
        return weights;
    }

    // Rank of each slot: what is left over after an even division goes to the slots with the lowest ranks.
    std::vector<std::uint32_t> slotRanks(const ClientAccountId& account, std::uint32_t slotCount)
    {
        const std::vector<std::uint64_t> weights = slotWeights(account, slotCount);
        std::vector<std::uint32_t> order(slotCount);
        for (std::uint32_t slot = 0; slot < slotCount; ++slot)
            order[slot] = slot;
        std::ranges::sort(order, [&](std::uint32_t left, std::uint32_t right) {
            return weights[left] != weights[right] ? weights[left] > weights[right] : left < right;
        });
        std::vector<std::uint32_t> ranks(slotCount);
        for (std::uint32_t rank = 0; rank < slotCount; ++rank)
            ranks[order[rank]] = rank;
        return ranks;
    }

    // Monotonic in `amount` for every rank, so that hosts that use different versions of a limit together never exceed
    // the larger one.
    std::int64_t share(std::int64_t amount, std::uint32_t rank, std::uint32_t slotCount)
    {
        return amount / slotCount + (static_cast<std::int64_t>(rank) < amount % slotCount ? 1 : 0);
    }

} // namespace internal

std::vector<Slice> slicesForSlots(const ClientAccount& account, std::span<const HeldSlot> slots, std::uint32_t slotCount)
{
    assert(account.burst.value % oneToken.value == 0);
    if (slots.empty())
        return {};
    const std::vector<std::uint32_t> ranks = internal::slotRanks(account.id, slotCount);
    std::vector<Slice> slices;
    slices.reserve(slots.size());
    for (const HeldSlot& held : slots) {
        assert(number(held.slot) < slotCount);
        const std::uint32_t rank = ranks[number(held.slot)];
        const std::int64_t tokens = internal::share(account.burst.value / oneToken.value, rank, slotCount);
        slices.push_back({ wholeTokens(tokens), { internal::share(account.rate.value * oneToken.value, rank, slotCount) } });
    }
    return slices;
}

Slice sumSlices(std::span<const Slice> slices)
{
    Slice sum;
    for (const Slice& slice : slices) {
        sum.burst = sum.burst + slice.burst;
        sum.rate.value += slice.rate.value;
    }
    return sum;
}

MicroTokens refill(MicroTokensPerSecond rate, std::chrono::microseconds elapsed, MicroTokens maxTokens, std::int64_t& fraction)
{
    assert(rate.value >= 0 && elapsed.count() >= 0);
    if (rate.value == 0 || maxTokens.value <= 0) {
        fraction = 0;
        return {};
    }
    // After this time the bucket is full; the bound also keeps the product below within 64 bits.
    const auto timeToFill = static_cast<std::uint64_t>(maxTokens.value) * internal::microsecondsPerSecond / static_cast<std::uint64_t>(rate.value) + 1;
    if (static_cast<std::uint64_t>(elapsed.count()) >= timeToFill) {
        fraction = 0;
        return maxTokens;
    }
    const auto product = static_cast<std::uint64_t>(rate.value) * static_cast<std::uint64_t>(elapsed.count()) + static_cast<std::uint64_t>(fraction);
    fraction = static_cast<std::int64_t>(product % internal::microsecondsPerSecond);
    return std::min(maxTokens, MicroTokens { static_cast<std::int64_t>(product / internal::microsecondsPerSecond) });
}

MicroTokens tokensIfUnused(std::span<const HeldSlot> slots, std::span<const Slice> slices, MonotonicTime now)
{
    assert(slots.size() == slices.size());
    MicroTokens total;
    for (std::size_t index = 0; index < slots.size(); ++index) {
        const Slice& slice = slices[index];
        std::int64_t fraction = 0;
        const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(std::max(Duration::zero(), now - slots[index].since));
        total = total + (slots[index].startedFull ? slice.burst : refill(slice.rate, elapsed, slice.burst, fraction));
    }
    return total;
}

} // namespace lacewingsail
