#pragma once

#include "Asio.h"

namespace lacewingsail::internal {

/// \brief Removes the hop-by-hop fields, including those listed in Connection.
void eraseHopByHopFields(http::fields&);

/// \returns whether the length of the body is stated in at most one way, so that no two servers can interpret it
/// differently (request smuggling).
bool hasUnambiguousFraming(const http::request_header<>&);

} // namespace lacewingsail::internal
