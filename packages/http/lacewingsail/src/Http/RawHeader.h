#pragma once

#include <lacewingsail/World.h>

#include <cstddef>
#include <string_view>

namespace lacewingsail {

/// Bytes of a message that a connection keeps until they can be parsed: its header, the line before a chunk, or the trailer.
constexpr std::size_t maxUnparsedBytes = 64 * 1024;

/// \returns the size of the header at the front of \p bytes with its empty line, or npos while that has not arrived.
/// Bare line feeds end a header too, so that it can be refused at once.
std::size_t rawHeaderSize(std::string_view bytes);

/// \brief Checks what a tolerant parser would let through and another server might read differently: bare line ends,
/// control characters, folded lines, spaces around field names, surplus spaces, too many fields.
/// \returns ResultCode::Ok or the reason of the refusal.
ResultCode checkRawHeader(std::string_view header);

/// \returns whether a field value or a reason phrase contains a status line of HTTP/1: a response that was broken off there runs
/// into the next one, and a parser takes both for one.
bool containsStatusLine(std::string_view text);

} // namespace lacewingsail
