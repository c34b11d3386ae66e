#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cassert>

namespace lacewingsail {

namespace internal {

    // Shares of the operators' bounds that coordinators use: of the ratio, of the slack as the upper limit of saved retries, and
    // of the slack as retries added in each window. The rest covers the edges of a window and changes of coordinators within it.
    constexpr double ratioShare = 0.8;
    constexpr double savedShare = 0.4;
    constexpr double incomeShare = 0.2;
    // Retries kept for requests that have failed, while others would only probe a suspected server.
    constexpr double minReserve = 2.0;
    // Requests of this priority or a more urgent one have a part of the budget to themselves, as long as one was retried recently.
    constexpr Priority urgentPriority { 1 };
    constexpr double urgentShare = 0.4;
    constexpr std::chrono::seconds urgentPeriod { 2 };

    void refill(CellRetryBudget& budget, const RetryBudgetParameters& parameters, MonotonicTime now)
    {
        if (!budget.initialized) {
            budget = { 0, true, now, {} };
            return;
        }
        const std::chrono::duration<double> elapsed = now - budget.refilledAt;
        budget.refilledAt = now;
        budget.available = std::min(parameters.maxAvailable, budget.available + elapsed.count() * parameters.perSecond);
    }

} // namespace internal

RetryBudgetParameters cellRetryBudgetParameters(const GatewayBounds& bounds, double share)
{
    assert(share >= 0 && share <= 1);
    const std::chrono::duration<double> window = bounds.retryWindow;
    const double slack = bounds.retrySlack * share;
    return { internal::ratioShare * bounds.retryRatio, internal::incomeShare * slack / std::max(window.count(), 1.0), std::max(1.0, internal::savedShare * slack) };
}

bool hasReserve(CellRetryBudget& budget, const RetryBudgetParameters& parameters, MonotonicTime now)
{
    internal::refill(budget, parameters, now);
    return budget.available >= internal::minReserve;
}

void deposit(CellRetryBudget& budget, const RetryBudgetParameters& parameters, MonotonicTime now)
{
    internal::refill(budget, parameters, now);
    budget.available = std::min(parameters.maxAvailable, budget.available + parameters.ratio);
}

bool tryWithdraw(CellRetryBudget& budget, const RetryBudgetParameters& parameters, Priority priority, MonotonicTime now)
{
    internal::refill(budget, parameters, now);
    const bool urgent = priority <= internal::urgentPriority;
    if (urgent)
        budget.keptUntil = now + internal::urgentPeriod;
    const double kept = !urgent && now < budget.keptUntil ? std::min(internal::urgentShare * parameters.maxAvailable, parameters.maxAvailable - 1) : 0;
    if (budget.available < 1 + kept)
        return false;
    budget.available -= 1;
    return true;
}

} // namespace lacewingsail
