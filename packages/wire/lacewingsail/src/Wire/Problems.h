#pragma once

#include <string>
#include <vector>

namespace lacewingsail {

/// \brief One thing wrong with a JSON text.
struct Problem {
    /// Where, as in "services[0].floor_percent".
    std::string path;
    std::string reason;
};

using Problems = std::vector<Problem>;

/// \returns one line a problem, "path: reason".
std::string text(const Problems&);

} // namespace lacewingsail
