#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cmath>

namespace lacewingsail {

namespace internal {

    // The users' servers fail one request in a hundred by chance (their sheets); in a spell 40 to 85 in 100 fail (the kinds
    // of disturbances of their bench).
    constexpr double chanceShare = 0.012;
    constexpr double spellShare = 0.6;
    // A server is in a spell for about 5 s of every ten minutes that it has no outcomes to tell of.
    constexpr double priorLogOdds = -5;
    // Beyond this, more failures say nothing new and would only delay the return.
    constexpr double mostLogOdds = 4;
    // Two thirds of what a failure adds: one host's way may be cut alone, two hosts' hardly at the same time.
    constexpr double unreachedWeight = 2.5;
    // The usual length of a spell.
    constexpr std::chrono::duration<double> spellLength { 5.0 };

    double logOddsAt(const GrayFailureEstimate& odds, MonotonicTime now)
    {
        if (!odds.initialized)
            return priorLogOdds;
        const std::chrono::duration<double> elapsed = now - odds.updatedAt;
        return priorLogOdds + (odds.logOdds - priorLogOdds) * std::exp(-elapsed / spellLength);
    }

    void add(GrayFailureEstimate& odds, double weight, MonotonicTime now)
    {
        odds = { std::clamp(logOddsAt(odds, now) + weight, priorLogOdds, mostLogOdds), now, true };
    }

} // namespace internal

void recordOutcome(GrayFailureEstimate& odds, bool failed, MonotonicTime now)
{
    static const double failureWeight = std::log(internal::spellShare / internal::chanceShare);
    static const double successWeight = std::log((1 - internal::spellShare) / (1 - internal::chanceShare));
    internal::add(odds, failed ? failureWeight : successWeight, now);
}

void recordUnreachable(GrayFailureEstimate& odds, MonotonicTime now) { internal::add(odds, internal::unreachedWeight, now); }

double grayFailureProbability(const GrayFailureEstimate& odds, MonotonicTime now) { return 1 / (1 + std::exp(-internal::logOddsAt(odds, now))); }

double expectedFailureRate(double chance) { return internal::chanceShare + chance * (internal::spellShare - internal::chanceShare); }

} // namespace lacewingsail
