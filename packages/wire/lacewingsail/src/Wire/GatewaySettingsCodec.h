#pragma once

#include "Problems.h"

#include <lacewingsail/World.h>

#include <optional>
#include <string_view>

namespace lacewingsail {

/// \brief Reads the settings of a gateway host. Times are in seconds, with fractions.
/// \returns nothing after adding every problem to \p problems.
std::optional<GatewaySettings> parseGatewaySettings(std::string_view json, Problems& problems);

} // namespace lacewingsail
