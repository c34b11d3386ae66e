#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cassert>
#include <string>

namespace lacewingsail {

namespace internal {

    std::vector<SlotBasis> makeBases(const SlotFold& fold, const std::vector<SlotIndex>& slots)
    {
        std::vector<SlotBasis> result;
        for (const SlotIndex slot : slots)
            result.push_back({ slot, fold.slots[number(slot)].lastRecord });
        return result;
    }

    std::size_t evenShare(const SlotView& view)
    {
        return (view.fold.slots.size() + view.hosts.size() - 1) / view.hosts.size();
    }

} // namespace internal

// Another host counts the lease from when it read the record, which is after the holder sent it; the holder counts the
// same lease from before it sent the record. So the holder stops before any other host may claim the slot, without a
// shared clock.
MonotonicTime claimableFrom(const SlotState& state, const SlotObservation& observation, bool readFromStart, MonotonicTime readSince, std::chrono::milliseconds leaseDuration)
{
    if (!state.holder.empty())
        return observation.lastRecordReadAt + state.lease;
    if (state.lastRecord >= 0)
        return observation.lastRecordReadAt;
    return readFromStart ? readSince : readSince + leaseDuration;
}

const HostId& preferredHost(SlotIndex slot, std::span<const HostId> hosts)
{
    assert(!hosts.empty());
    const std::string name = std::to_string(number(slot));
    return *std::ranges::max_element(hosts, {}, [&](const HostId& host) { return rendezvousWeight(name, host.value()); });
}

std::vector<SlotBasis> slotsToClaim(const SlotView& view, Duration delay, MonotonicTime now)
{
    assert(view.observations.size() == view.fold.slots.size());
    std::vector<SlotBasis> claims;
    if (view.hosts.empty())
        return claims;
    const std::size_t held = slotsHeldBy(view.fold, view.holder).size();
    for (std::uint32_t index = 0; index < view.fold.slots.size(); ++index) {
        const SlotState& state = view.fold.slots[index];
        if (state.holder == view.holder)
            continue;
        const bool preferred = preferredHost(SlotIndex { index }, view.hosts) == view.self;
        // Slots preferred by other hosts are claimed only up to the even share; more would be released again immediately.
        if (!preferred && held + claims.size() >= internal::evenShare(view))
            continue;
        const MonotonicTime claimableAt = claimableFrom(state, view.observations[index], view.readFromStart, view.readSince, view.leaseDuration);
        if (now >= claimableAt + (preferred ? Duration::zero() : delay))
            claims.push_back({ SlotIndex { index }, state.lastRecord });
    }
    return claims;
}

std::vector<SlotBasis> slotsToRelease(const SlotView& view)
{
    if (view.hosts.empty())
        return {};
    const std::vector<SlotIndex> held = slotsHeldBy(view.fold, view.holder);
    std::vector<SlotIndex> surplus;
    for (const SlotIndex slot : held) {
        if (held.size() - surplus.size() <= internal::evenShare(view))
            break;
        if (preferredHost(slot, view.hosts) != view.self)
            surplus.push_back(slot);
    }
    return internal::makeBases(view.fold, surplus);
}

} // namespace lacewingsail
