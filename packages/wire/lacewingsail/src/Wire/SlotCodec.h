#pragma once

#include "Problems.h"

#include <lacewingsail/World.h>

#include <optional>
#include <string>
#include <string_view>

namespace lacewingsail {

/// \brief The most slots into which limits may be divided.
constexpr std::uint32_t mostLimitSlots = 4096;

/// \returns the name of the kind in a record, as in "claim".
const char* nameOf(SlotRecordKind);

std::string formatSlotRecord(const SlotRecord&);

/// \brief Reads a record of the stream `slots`.
/// \returns nothing if it is malformed; the reasons are in \p problems.
std::optional<SlotRecord> parseSlotRecord(std::string_view json, Problems& problems);

} // namespace lacewingsail
