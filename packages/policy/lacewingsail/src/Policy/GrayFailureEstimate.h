#pragma once

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief How likely a backend server is to fail most of its requests at the moment, by all outcomes in their order.
///
/// Answers servers that fail most of their requests for several seconds while their health is good, beside a base rate of
/// chance failures. One failure makes a spell possible, a second one soon after makes it all but certain, successes make
/// it unlikely again, and time alone does so within the length of a spell.
struct GrayFailureEstimate {
    /// Natural logarithm of the odds of a spell at \ref updatedAt.
    double logOdds = 0;
    MonotonicTime updatedAt {};
    /// Whether any outcome has been noted; until then the odds are those of any server.
    bool initialized = false;
};

/// \brief Notes that a request has failed, or was served.
void recordOutcome(GrayFailureEstimate&, bool failed, MonotonicTime now);

/// \brief Notes that some host could not reach the server: the server may be gone, or only that host's way to it.
void recordUnreachable(GrayFailureEstimate&, MonotonicTime now);

/// \returns the probability that the server is in a spell of failures.
double grayFailureProbability(const GrayFailureEstimate&, MonotonicTime now);

/// \returns the share of its requests that a server fails which is in a spell with probability \p chance.
double expectedFailureRate(double chance);

} // namespace lacewingsail
