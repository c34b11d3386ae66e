#pragma once

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief What failures anywhere in the fleet make of a backend server.
///
/// Answers servers that fail most of their requests for a few seconds while their health is good, most of them at once and
/// quickly: a single failure makes such a spell more likely than a failure by chance, so that requests which may not be
/// repeated go elsewhere at once.
struct Suspicion {
    MonotonicTime until {};
};

/// \brief Notes a failure at \p failedAt.
void noteFailure(Suspicion&, MonotonicTime failedAt);

/// \returns whether the server is suspect.
inline bool isSuspect(const Suspicion& suspicion, MonotonicTime now) { return now < suspicion.until; }

} // namespace lacewingsail
