#pragma once

#include <system_error>

namespace lacewingsail {

/// \brief Exit code for a wrong command line.
constexpr int exitUsage = 2;

/// \returns 0 for success, 20 plus the last two digits for result codes from 701 on, 10 plus the hundreds digit for
/// the other result codes, and 1 for an error of the system.
int exitCodeOf(const std::error_code&);

} // namespace lacewingsail
