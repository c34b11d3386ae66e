#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace lacewingsail {

/// \brief Holder of a limit slot according to the stream `slots`.
struct SlotState {
    HostId host;
    /// Incarnation that holds the slot; empty if the slot is free.
    IncarnationId holder;
    /// Offset of the last accepted record of the slot; -1 if none was read.
    std::int64_t lastRecord = -1;
    /// Duration of the lease that the holder requested.
    std::chrono::milliseconds lease { 0 };
};

/// \brief State computed by applying the records of the stream `slots`; the same on all hosts that read the same records.
struct SlotFold {
    /// Empty until the first claim or renewal sets the number of slots.
    std::vector<SlotState> slots;
};

/// \brief Result of applying one record.
struct SlotOutcome {
    /// The slots that the record changed; empty if it was rejected.
    std::vector<SlotIndex> changed;
    /// The changed slots that no host had held before; only meaningful for claims.
    std::vector<SlotIndex> firstHeld;
};

/// \brief Applies one record, in log order. Each slot is decided separately; slots for which the record is not valid stay
/// unchanged.
SlotOutcome apply(SlotFold&, const SlotRecord&, std::int64_t offset);

/// \returns the slots held by \p holder, in ascending order.
std::vector<SlotIndex> slotsHeldBy(const SlotFold&, const IncarnationId& holder);

} // namespace lacewingsail
