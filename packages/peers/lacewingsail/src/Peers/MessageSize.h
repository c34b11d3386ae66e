#pragma once

namespace lacewingsail::internal {

/// \brief Bytes of the largest message that a host takes from another: a whole configuration with room to grow.
constexpr int largestMessage = 64 << 20;

} // namespace lacewingsail::internal
