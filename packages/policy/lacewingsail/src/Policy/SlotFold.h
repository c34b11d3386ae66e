#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace lacewingsail {

/// \brief Who holds a limit slot according to the stream `slots`.
struct SlotState {
    HostId host;
    /// Empty if nobody holds the slot.
    IncarnationId holder;
    /// Offset of the last accepted record about the slot; -1 if none was read.
    std::int64_t lastRecord = -1;
    /// The lease that the holder asked for.
    std::chrono::milliseconds lease { 0 };
};

/// \brief State of the fold over the stream `slots`. Every host that has read the same records has the same.
struct SlotFold {
    /// Empty until the first claim has set the number of slots.
    std::vector<SlotState> slots;
};

/// \brief What the fold made of one record.
struct SlotOutcome {
    /// The slots that the record changed; empty if it was rejected.
    std::vector<SlotIndex> changed;
    /// Those of the changed slots that nobody had held before; only meaningful for claims.
    std::vector<SlotIndex> firstHeld;
};

/// \brief Folds one record, in log order. Decides slot by slot; what does not apply to a slot leaves it alone.
SlotOutcome apply(SlotFold&, const SlotRecord&, std::int64_t offset);

/// \returns the slots that \p holder has, in ascending order.
std::vector<SlotIndex> slotsHeldBy(const SlotFold&, const IncarnationId& holder);

} // namespace lacewingsail
