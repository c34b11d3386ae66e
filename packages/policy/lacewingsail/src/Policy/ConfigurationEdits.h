#pragma once

#include <lacewingsail/World.h>

#include <string>
#include <vector>

namespace lacewingsail {

/// \returns the edits that turn \p before into a configuration with the items of \p after.
ConfigurationEdits editsBetween(const Configuration& before, const Configuration& after);

/// \returns \p base with the edits: replaced items keep their place, new ones come last. The result may break rules
/// that concern several items, so it is to be checked as a whole.
Configuration applyEdits(const Configuration& base, const ConfigurationEdits&);

/// \returns one line an edit, as in "+ route book-loan", "~ account norrland" or "- service archive".
std::vector<std::string> describeEdits(const Configuration& base, const ConfigurationEdits&);

} // namespace lacewingsail
