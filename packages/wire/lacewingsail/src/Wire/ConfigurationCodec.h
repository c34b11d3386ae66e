#pragma once

#include "Problems.h"

#include <lacewingsail/World.h>

#include <optional>
#include <string>
#include <string_view>

namespace lacewingsail {

/// \brief Reads and checks a whole configuration text (docs/CONFIGURATION.md has the schema).
/// \param problems gets every problem found, each with its path.
/// \returns nothing if there is any problem.
std::optional<Configuration> parseConfiguration(std::string_view json, Problems& problems);

/// \returns the configuration as JSON text that parseConfiguration reads back as the same value.
std::string formatConfiguration(const Configuration&);

/// \brief Checks what no single item can show: doubled names, dangling references, cycles, floors out of reach.
/// parseConfiguration() does so too; this is for a configuration that was put together otherwise.
/// \returns whether there is no problem.
bool checkConfiguration(const Configuration&, Problems&);

} // namespace lacewingsail
