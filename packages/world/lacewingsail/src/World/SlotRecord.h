#pragma once

#include "Ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lacewingsail {

/// \brief One run of a host's process; a restarted host is another holder, since it has forgotten what it spent.
using IncarnationId = StrongId<struct IncarnationTag>;

/// \brief Number of a limit slot, from 0.
enum class SlotIndex : std::uint32_t {};

/// \returns the slot's number, for logs and messages.
constexpr std::uint32_t number(SlotIndex slot) { return static_cast<std::uint32_t>(slot); }

enum class SlotRecordKind {
    /// Takes slots that are free, or whose lease has ended.
    Claim,
    /// Extends the lease on all slots that the holder still has.
    Renew,
    /// Gives slots up.
    Release,
    /// An operator states that a host's process has ended.
    Fence,
};

/// \brief A slot, with the last record about it that the author has read. A claim or a fence only applies if no
/// other record came between.
struct SlotBasis {
    SlotIndex slot {};
    /// Offset of that record; -1 if there was none.
    std::int64_t lastRecord = -1;

    bool operator==(const SlotBasis&) const = default;
};

/// \brief One record of the stream `slots`.
struct SlotRecord {
    /// Unique for each append.
    std::string id;
    SlotRecordKind kind = SlotRecordKind::Claim;
    /// The holder's host; the host that is fenced.
    HostId host;
    /// Empty in a fence.
    IncarnationId holder;
    /// Number of slots into which limits are divided; the first claim of the stream decides.
    std::uint32_t slotCount = 0;
    std::chrono::milliseconds lease { 0 };
    /// The oldest record that the claimer has read.
    std::int64_t readFrom = 0;
    /// The slots that the record is about.
    std::vector<SlotBasis> slots;

    bool operator==(const SlotRecord&) const = default;
};

} // namespace lacewingsail
