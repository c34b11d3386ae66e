#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace lacewingsail {

namespace internal {

    // A loan that lapsed took every token with it: the slice comes back empty and fills from then on.
    void takeBackIfLapsed(LocalSlice& own, MonotonicTime now)
    {
        if (own.borrower.empty() || now < own.lentUntil)
            return;
        own.borrower = {};
        own.bucket.available = {};
        own.bucket.fraction = 0;
        own.bucket.refilledAt = own.lentUntil;
    }

    std::pair<std::vector<HeldSlot>, std::vector<HeldSlot>> keptAndAdded(const std::vector<HeldSlot>& before, const std::vector<HeldSlot>& after)
    {
        std::pair<std::vector<HeldSlot>, std::vector<HeldSlot>> result;
        for (const HeldSlot& slot : after) {
            const bool kept = std::ranges::find(before, slot) != before.end();
            (kept ? result.first : result.second).push_back(slot);
        }
        return result;
    }

    void changeSlots(LocalSlice& own, const ClientAccount& account, const HeldSlots& held, std::vector<HeldSlot> slots, MonotonicTime now)
    {
        const auto [kept, added] = keptAndAdded(own.slots, slots);
        const Slice keptSlice = sumSlices(slicesForSlots(account, kept, held.slotCount));
        const std::vector<Slice> addedSlices = slicesForSlots(account, added, held.slotCount);
        const Slice addedSlice = sumSlices(addedSlices);
        own.bucket.available = std::min(own.bucket.available, keptSlice.burst) + tokensIfUnused(added, addedSlices, now);
        own.bucket.slice = { keptSlice.burst + addedSlice.burst, { keptSlice.rate.value + addedSlice.rate.value } };
        own.slots = std::move(slots);
        own.rate = account.rate;
        own.burst = account.burst;
    }

} // namespace internal

bool isLent(const LocalSlice& own, MonotonicTime now) { return !own.borrower.empty() && now < own.lentUntil; }

void updateLocalSlice(LocalSlice& own, const ClientAccount& account, const HeldSlots& held, MonotonicTime now)
{
    internal::takeBackIfLapsed(own, now);
    // While the slice is lent its time counts for the borrower.
    if (own.borrower.empty())
        refillUntil(own.bucket, now);
    own.slotsExpireAt = held.expiresAt;
    std::vector<HeldSlot> slots;
    if (now < held.expiresAt)
        slots = held.slots;
    if (slots != own.slots || account.rate != own.rate || account.burst != own.burst)
        internal::changeSlots(own, account, held, std::move(slots), now);
}

bool tryConsume(LocalSlice& own, MonotonicTime now)
{
    return now < own.slotsExpireAt && !isLent(own, now) && tryConsume(own.bucket, oneToken);
}

std::optional<LentSlice> lend(LocalSlice& own, const IncarnationId& borrower, std::chrono::milliseconds term, MonotonicTime now)
{
    assert(!borrower.empty());
    if (isLent(own, now) && own.borrower != borrower)
        return std::nullopt;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(own.slotsExpireAt - now);
    const auto granted = std::min(term, left);
    if (own.bucket.slice == Slice {} || granted.count() <= 0)
        return std::nullopt;
    LentSlice loan { own.bucket.slice, own.bucket.available, granted };
    own.bucket.available = {};
    own.borrower = borrower;
    own.lentUntil = std::max(own.lentUntil, now + granted);
    return loan;
}

} // namespace lacewingsail
