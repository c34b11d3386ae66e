#pragma once

#include <string>
#include <string_view>

namespace lacewingsail {

/// \returns the SHA-256 of \p text in lower-case hexadecimal.
std::string sha256(std::string_view text);

/// \returns \p bytes random bytes from the system's generator, in hexadecimal.
std::string randomHex(int bytes);

} // namespace lacewingsail
