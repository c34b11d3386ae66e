#pragma once

#include <string_view>

namespace lacewingsail::internal {

/// \returns whether \p line, without its end, has a character that no line of a header may have.
bool hasControlCharacter(std::string_view line);

/// \returns whether \p line has a colon behind a field name: one without spaces, and not a continuation of the line before.
bool isFieldLine(std::string_view line);

} // namespace lacewingsail::internal
