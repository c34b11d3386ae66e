#pragma once

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief Estimate of the probability that a backend server is in a gray failure, updated by each outcome in order.
///
/// In a gray failure a server fails most of its requests for several seconds although its health checks pass; random failures
/// occur at a base rate as well. One failure makes a gray failure possible, a second one soon afterwards almost certain.
/// Successes make it improbable again, and so does time alone within the usual length of a gray failure.
struct GrayFailureEstimate {
    /// Natural logarithm of the odds of a gray failure at \ref updatedAt.
    double logOdds = 0;
    MonotonicTime updatedAt {};
    /// Whether any outcome has been recorded; until then the prior odds apply.
    bool initialized = false;
    /// What refusals with free slots add to \ref logOdds, once it is considerable.
    double refusalLogOdds = 0;
};

/// \brief Updates the estimate by a failed or succeeded request.
void recordOutcome(GrayFailureEstimate&, bool failed, MonotonicTime now);

/// \brief Updates the estimate by a failed connection from any host: the server may be down, or only the path from that host.
void recordUnreachable(GrayFailureEstimate&, MonotonicTime now);

/// \brief Updates the estimate by a refusal although the server has free slots.
/// \param commonShare share of requests that the service's other servers refuse with free slots; the refusal counts by how much
/// likelier it is at a failing server.
void recordRefusalWithRoom(GrayFailureEstimate&, double commonShare, MonotonicTime now);

/// \brief Takes back what refusals have added: the server's service turned out to refuse alike.
void forgetRefusals(GrayFailureEstimate&, MonotonicTime now);

/// \returns the probability that the server is in a gray failure.
double grayFailureProbability(const GrayFailureEstimate&, MonotonicTime now);

/// \returns the expected failure rate of a server that is in a gray failure with this probability.
double expectedFailureRate(double probability);

} // namespace lacewingsail
