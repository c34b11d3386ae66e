#pragma once

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief What failures anywhere in the fleet make of a backend server.
///
/// Answers servers that fail most of their requests for a few seconds while their health is good, most of them at once and
/// quickly: a single failure makes such a spell more likely than a failure by chance, so that requests which may not be
/// repeated go elsewhere at once, for longer each time the failures go on.
struct Suspicion {
    MonotonicTime failedAt {};
    MonotonicTime until {};
    int strikes = 0;
};

/// \brief Notes a failure at \p failedAt; one that is older than the last is ignored.
void noteFailure(Suspicion&, MonotonicTime failedAt);

/// \brief Notes that a request which began at \p begunAt was answered well.
void noteSuccess(Suspicion&, MonotonicTime begunAt);

/// \returns whether the server is suspect.
inline bool isSuspect(const Suspicion& suspicion, MonotonicTime now) { return now < suspicion.until; }

} // namespace lacewingsail
