#include <lacewingsail/Policy.h>

#include <cassert>

namespace lacewingsail {

namespace internal {

    // A claim is a compare-and-swap: it names the last record of the slot that its author had read, so that an earlier
    // renewal invalidates it. To an author that knows no record of the slot, the slot appears free; for hosts that still
    // know a holder, such a claim is valid only if the holder's last record had expired from the log by then.
    bool isClaimValid(const SlotState& state, const SlotRecord& claim, const SlotBasis& basis)
    {
        if (state.holder.empty())
            return true;
        if (basis.lastRecord < 0)
            return state.lastRecord < claim.readFrom;
        return basis.lastRecord == state.lastRecord;
    }

    void setHolder(SlotState& state, const SlotRecord& record, std::int64_t offset)
    {
        state = { record.host, record.holder, offset, record.lease };
    }

    void claim(SlotFold& fold, const SlotRecord& record, std::int64_t offset, SlotOutcome& outcome)
    {
        if (fold.slots.empty())
            fold.slots.resize(record.slotCount);
        if (fold.slots.size() != record.slotCount)
            return;
        for (const SlotBasis& basis : record.slots) {
            if (number(basis.slot) >= fold.slots.size())
                continue;
            SlotState& state = fold.slots[number(basis.slot)];
            if (!isClaimValid(state, record, basis))
                continue;
            if (state.lastRecord < 0)
                outcome.firstHeld.push_back(basis.slot);
            setHolder(state, record, offset);
            outcome.changed.push_back(basis.slot);
        }
    }

    // A late renewal of a slot that was lost in the meantime has no effect: the slot has another holder or was freed. If no
    // record of the slot was read, as when the earlier ones have expired from the log, a renewal sets the holder.
    void renew(SlotFold& fold, const SlotRecord& record, std::int64_t offset, SlotOutcome& outcome)
    {
        if (fold.slots.empty())
            fold.slots.resize(record.slotCount);
        if (fold.slots.size() != record.slotCount)
            return;
        for (const SlotBasis& basis : record.slots) {
            if (number(basis.slot) >= fold.slots.size())
                continue;
            SlotState& state = fold.slots[number(basis.slot)];
            const bool unknown = state.holder.empty() && state.lastRecord < 0;
            if (state.holder != record.holder && !unknown)
                continue;
            setHolder(state, record, offset);
            outcome.changed.push_back(basis.slot);
        }
    }

    void setFree(SlotState& state, std::int64_t offset) { state = { {}, {}, offset, {} }; }

    void release(SlotFold& fold, const SlotRecord& record, std::int64_t offset, SlotOutcome& outcome)
    {
        for (const SlotBasis& basis : record.slots) {
            if (number(basis.slot) >= fold.slots.size())
                continue;
            SlotState& state = fold.slots[number(basis.slot)];
            if (state.holder != record.holder)
                continue;
            setFree(state, offset);
            outcome.changed.push_back(basis.slot);
        }
    }

    // A fence frees the slots of a host whose process has ended according to an operator. It is a compare-and-swap too: a
    // renewal after the operator's check shows that the host is running.
    void fence(SlotFold& fold, const SlotRecord& record, std::int64_t offset, SlotOutcome& outcome)
    {
        for (const SlotBasis& basis : record.slots) {
            if (number(basis.slot) >= fold.slots.size())
                continue;
            SlotState& state = fold.slots[number(basis.slot)];
            if (state.host != record.host || state.lastRecord != basis.lastRecord)
                continue;
            setFree(state, offset);
            outcome.changed.push_back(basis.slot);
        }
    }

} // namespace internal

SlotOutcome apply(SlotFold& fold, const SlotRecord& record, std::int64_t offset)
{
    assert(record.kind == SlotRecordKind::Fence || !record.holder.empty());
    SlotOutcome outcome;
    switch (record.kind) {
    case SlotRecordKind::Claim:
        internal::claim(fold, record, offset, outcome);
        break;
    case SlotRecordKind::Renew:
        internal::renew(fold, record, offset, outcome);
        break;
    case SlotRecordKind::Release:
        internal::release(fold, record, offset, outcome);
        break;
    case SlotRecordKind::Fence:
        internal::fence(fold, record, offset, outcome);
        break;
    }
    return outcome;
}

std::vector<SlotIndex> slotsHeldBy(const SlotFold& fold, const IncarnationId& holder)
{
    assert(!holder.empty());
    std::vector<SlotIndex> result;
    for (std::uint32_t index = 0; index < fold.slots.size(); ++index) {
        if (fold.slots[index].holder == holder)
            result.push_back(SlotIndex { index });
    }
    return result;
}

} // namespace lacewingsail
