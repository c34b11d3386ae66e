#pragma once

#include "HeaderRules.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lacewingsail::internal {

/// \brief A download that another backend server could continue: which bytes of which representation it is.
struct Download {
    /// A strong validator.
    std::string etag;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::uint64_t total = 0;
};

/// \returns the download that \p answer begins, or nothing if it could not be continued safely.
std::optional<Download> downloadOf(const RequestHeader& request, const ResponseHeader& answer);

/// \brief Turns \p request into one for what is left after \p sent bytes, of this representation only.
void askForRest(RequestHeader& request, const Download&, std::uint64_t sent);

/// \returns whether \p answer is exactly the rest after \p sent bytes of the same representation.
bool isRestOf(const ResponseHeader& answer, const Download&, std::uint64_t sent);

} // namespace lacewingsail::internal
