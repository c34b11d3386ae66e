#pragma once

#include "Attempt.h"

namespace lacewingsail::internal {

/// \brief Finds a backend server for the request and sends it there; another one if the first attempt may be
/// followed by a second.
/// \param target set to the server whose result is returned.
net::awaitable<AttemptResult> dispatch(RequestContext&, AttemptTarget& target);

} // namespace lacewingsail::internal
