#pragma once

#include "Asio.h"

namespace lacewingsail::internal {

/// \brief Removes the fields that concern one connection only, those that Connection names included.
void eraseHopByHopFields(http::fields&);

/// \returns whether the body's length is stated in exactly one way, so that no two servers can read it differently.
bool hasUnambiguousFraming(const http::request_header<>&);

} // namespace lacewingsail::internal
