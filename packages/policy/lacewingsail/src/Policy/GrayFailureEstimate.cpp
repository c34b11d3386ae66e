#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cmath>

namespace lacewingsail {

namespace internal {

    // Servers of the platform fail about one request in a hundred at random (its specification), and 40 to 85 in a hundred in a
    // gray failure (fault types of its benchmark).
    constexpr double randomFailureRate = 0.012;
    constexpr double grayFailureRate = 0.6;
    // Assumed while there are no outcomes: a server is in a gray failure for about 5 s in every ten minutes.
    constexpr double priorLogOdds = -5;
    // Upper limit: further failures add no information and would only delay recovery.
    constexpr double maxLogOdds = 4;
    // Two thirds of the weight of a failure: the path from one host may fail alone, those from two hosts hardly at the same time.
    constexpr double unreachableWeight = 2.5;
    // Usual length of a gray failure; time constant with which the log odds return to the prior.
    constexpr std::chrono::duration<double> grayFailureDuration { 5.0 };

    double logOddsAt(const GrayFailureEstimate& estimate, MonotonicTime now)
    {
        if (!estimate.initialized)
            return priorLogOdds;
        const std::chrono::duration<double> elapsed = now - estimate.updatedAt;
        return priorLogOdds + (estimate.logOdds - priorLogOdds) * std::exp(-elapsed / grayFailureDuration);
    }

    void addEvidence(GrayFailureEstimate& estimate, double weight, MonotonicTime now)
    {
        estimate = { std::clamp(logOddsAt(estimate, now) + weight, priorLogOdds, maxLogOdds), now, true };
    }

} // namespace internal

void recordOutcome(GrayFailureEstimate& estimate, bool failed, MonotonicTime now)
{
    static const double failureWeight = std::log(internal::grayFailureRate / internal::randomFailureRate);
    static const double successWeight = std::log((1 - internal::grayFailureRate) / (1 - internal::randomFailureRate));
    internal::addEvidence(estimate, failed ? failureWeight : successWeight, now);
}

void recordUnreachable(GrayFailureEstimate& estimate, MonotonicTime now) { internal::addEvidence(estimate, internal::unreachableWeight, now); }

double grayFailureProbability(const GrayFailureEstimate& estimate, MonotonicTime now) { return 1 / (1 + std::exp(-internal::logOddsAt(estimate, now))); }

double expectedFailureRate(double probability) { return internal::randomFailureRate + probability * (internal::grayFailureRate - internal::randomFailureRate); }

} // namespace lacewingsail
