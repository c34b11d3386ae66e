#pragma once

#include <cstdint>

namespace lacewingsail::bench {

/// \returns how often the process has allocated so far.
std::int64_t allocationCount();

} // namespace lacewingsail::bench
