#pragma once

#include <lacewingsail/World.h>

#include <string>
#include <vector>

namespace lacewingsail {

/// \returns the edits that transform \p before into a configuration with the items of \p after.
ConfigurationEdits editsBetween(const Configuration& before, const Configuration& after);

/// \returns \p base with the edits applied: replaced items keep their position, new ones are appended. The result may
/// violate rules that span several items, so it must be validated as a whole.
Configuration applyEdits(const Configuration& base, const ConfigurationEdits&);

/// \returns one line per edit, for example "+ route book-loan", "~ account norrland" or "- service archive".
std::vector<std::string> describeEdits(const Configuration& base, const ConfigurationEdits&);

} // namespace lacewingsail
