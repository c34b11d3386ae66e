#pragma once

#include "Problems.h"

#include <lacewingsail/World.h>

#include <optional>
#include <string_view>

namespace lacewingsail {

/// \brief Reads and checks the settings of a `lacewingd` process (docs/SETTINGS.md has the schema).
/// \returns nothing if there is any problem.
std::optional<HostSettings> parseSettings(std::string_view json, Problems& problems);

} // namespace lacewingsail
