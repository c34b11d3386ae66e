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
    // The common share is an estimate: as much may be common.
    constexpr double commonShareMargin = 1.3;
    constexpr double maxCommonShare = 0.95;
    // Below this, some refusals in a row are chance while all servers refuse; one alone exceeds it where the others refuse nothing.
    constexpr double minRefusalLogOdds = 2;
    // Usual length of a gray failure; time constant with which the log odds return to the prior.
    constexpr std::chrono::duration<double> grayFailureDuration { 5.0 };

    double decayAt(const GrayFailureEstimate& estimate, MonotonicTime now)
    {
        const std::chrono::duration<double> elapsed = now - estimate.updatedAt;
        return std::exp(-elapsed / grayFailureDuration);
    }

    double logOddsAt(const GrayFailureEstimate& estimate, MonotonicTime now)
    {
        if (!estimate.initialized)
            return priorLogOdds;
        return priorLogOdds + (estimate.logOdds - priorLogOdds) * decayAt(estimate, now);
    }

    double refusalLogOddsAt(const GrayFailureEstimate& estimate, MonotonicTime now) { return estimate.initialized ? estimate.refusalLogOdds * decayAt(estimate, now) : 0; }

    void addEvidence(GrayFailureEstimate& estimate, double weight, MonotonicTime now)
    {
        estimate = { std::clamp(logOddsAt(estimate, now) + weight, priorLogOdds, maxLogOdds), now, true, refusalLogOddsAt(estimate, now) };
    }

} // namespace internal

void recordOutcome(GrayFailureEstimate& estimate, bool failed, MonotonicTime now)
{
    static const double failureWeight = std::log(internal::grayFailureRate / internal::randomFailureRate);
    static const double successWeight = std::log((1 - internal::grayFailureRate) / (1 - internal::randomFailureRate));
    internal::addEvidence(estimate, failed ? failureWeight : successWeight, now);
    // A request that was accepted is evidence against refusals in excess of the common ones, whether it failed or not.
    estimate.refusalLogOdds = std::max(0.0, estimate.refusalLogOdds + successWeight);
}

void recordUnreachable(GrayFailureEstimate& estimate, MonotonicTime now) { internal::addEvidence(estimate, internal::unreachableWeight, now); }

void recordRefusalWithRoom(GrayFailureEstimate& estimate, double commonShare, MonotonicTime now)
{
    const double common = std::clamp(commonShare * internal::commonShareMargin, internal::randomFailureRate, internal::maxCommonShare);
    const double atFailingServer = 1 - (1 - common) * (1 - internal::grayFailureRate);
    const double weight = std::min(std::log(atFailingServer / common), internal::unreachableWeight);
    internal::addEvidence(estimate, 0, now);
    estimate.refusalLogOdds = std::min(estimate.refusalLogOdds + weight, internal::maxLogOdds - estimate.logOdds);
}

void forgetRefusals(GrayFailureEstimate& estimate, MonotonicTime now)
{
    internal::addEvidence(estimate, 0, now);
    estimate.refusalLogOdds = 0;
}

double grayFailureProbability(const GrayFailureEstimate& estimate, MonotonicTime now)
{
    const double refusals = internal::refusalLogOddsAt(estimate, now);
    const double logOdds = internal::logOddsAt(estimate, now) + (refusals >= internal::minRefusalLogOdds ? refusals : 0);
    return 1 / (1 + std::exp(-std::min(logOdds, internal::maxLogOdds)));
}

double expectedFailureRate(double probability) { return internal::randomFailureRate + probability * (internal::grayFailureRate - internal::randomFailureRate); }

} // namespace lacewingsail
