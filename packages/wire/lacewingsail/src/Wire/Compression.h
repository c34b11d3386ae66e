#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingsail {

/// \returns \p text as a Zstandard frame.
std::string compress(std::string_view text);

/// \returns the text of a frame of \ref compress, or nothing if it is malformed or its text longer than \p maxBytes.
std::optional<std::string> decompress(std::string_view frame, std::size_t maxBytes);

} // namespace lacewingsail
