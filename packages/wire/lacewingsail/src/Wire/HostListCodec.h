#pragma once

#include "Problems.h"

#include <lacewingsail/World.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief Reads the platform's list of hosts. \returns nothing if any entry is malformed.
std::optional<std::vector<Host>> parseHostList(std::string_view json, Problems& problems);

std::string formatHostList(const std::vector<Host>&);

} // namespace lacewingsail
