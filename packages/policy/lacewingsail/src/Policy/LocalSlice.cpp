#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace lacewingsail {

namespace internal {

    // All tokens went with the loan, so after its end the slice starts empty and refills from then on.
    void reclaimIfExpired(LocalSlice& local, MonotonicTime now)
    {
        if (local.borrower.empty() || now < local.lentUntil)
            return;
        local.borrower = {};
        local.bucket.available = {};
        local.bucket.fraction = 0;
        local.bucket.refilledAt = local.lentUntil;
    }

    std::pair<std::vector<HeldSlot>, std::vector<HeldSlot>> partitionSlots(const std::vector<HeldSlot>& before, const std::vector<HeldSlot>& after)
    {
        std::pair<std::vector<HeldSlot>, std::vector<HeldSlot>> result;
        for (const HeldSlot& slot : after) {
            const bool kept = std::ranges::find(before, slot) != before.end();
            (kept ? result.first : result.second).push_back(slot);
        }
        return result;
    }

    void replaceSlots(LocalSlice& local, const ClientAccount& account, const HeldSlots& held, std::vector<HeldSlot> slots, MonotonicTime now)
    {
        const auto [kept, added] = partitionSlots(local.slots, slots);
        const Slice keptSlice = sumSlices(slicesForSlots(account, kept, held.slotCount));
        const std::vector<Slice> addedSlices = slicesForSlots(account, added, held.slotCount);
        const Slice addedSlice = sumSlices(addedSlices);
        local.bucket.available = std::min(local.bucket.available, keptSlice.burst) + tokensIfUnused(added, addedSlices, now);
        local.bucket.slice = { keptSlice.burst + addedSlice.burst, { keptSlice.rate.value + addedSlice.rate.value } };
        local.slots = std::move(slots);
        local.rate = account.rate;
        local.burst = account.burst;
    }

} // namespace internal

bool isLent(const LocalSlice& local, MonotonicTime now) { return !local.borrower.empty() && now < local.lentUntil; }

void updateLocalSlice(LocalSlice& local, const ClientAccount& account, const HeldSlots& held, MonotonicTime now)
{
    internal::reclaimIfExpired(local, now);
    // While the slice is lent, the borrower refills it.
    if (local.borrower.empty())
        refillUntil(local.bucket, now);
    local.slotsExpireAt = held.expiresAt;
    std::vector<HeldSlot> slots;
    if (now < held.expiresAt)
        slots = held.slots;
    if (slots != local.slots || account.rate != local.rate || account.burst != local.burst)
        internal::replaceSlots(local, account, held, std::move(slots), now);
}

bool tryConsume(LocalSlice& local, MonotonicTime now)
{
    return now < local.slotsExpireAt && !isLent(local, now) && tryConsume(local.bucket, oneToken);
}

std::optional<LentSlice> lend(LocalSlice& local, const IncarnationId& borrower, std::chrono::milliseconds term, MonotonicTime now)
{
    assert(!borrower.empty());
    if (isLent(local, now) && local.borrower != borrower)
        return std::nullopt;
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(local.slotsExpireAt - now);
    const auto granted = std::min(term, remaining);
    if (local.bucket.slice == Slice {} || granted.count() <= 0)
        return std::nullopt;
    LentSlice loan { local.bucket.slice, local.bucket.available, granted };
    local.bucket.available = {};
    local.borrower = borrower;
    local.lentUntil = std::max(local.lentUntil, now + granted);
    return loan;
}

} // namespace lacewingsail
