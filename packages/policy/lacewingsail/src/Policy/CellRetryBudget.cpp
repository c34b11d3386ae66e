#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cassert>

namespace lacewingsail {

namespace internal {

    // Parts of the operators' bound that keepers use, of its ratio, of its slack at once, and of its slack in each window.
    // What a window's edge and a change of keepers within it need is left.
    constexpr double keeperRatio = 0.8;
    constexpr double keeperSaved = 0.4;
    constexpr double keeperIncome = 0.2;
    // Left for requests that have failed when others would only try an uncertain server.
    constexpr double reserve = 2.0;

    void refill(CellRetryBudget& allowance, const RetryBudgetParameters& terms, MonotonicTime now)
    {
        if (!allowance.initialized) {
            allowance = { 0, true, now };
            return;
        }
        const std::chrono::duration<double> elapsed = now - allowance.refilledAt;
        allowance.refilledAt = now;
        allowance.available = std::min(terms.maxAvailable, allowance.available + elapsed.count() * terms.perSecond);
    }

} // namespace internal

RetryBudgetParameters cellRetryBudgetParameters(const GatewayBounds& bounds, double share)
{
    assert(share >= 0 && share <= 1);
    const std::chrono::duration<double> window = bounds.retryWindow;
    const double slack = bounds.retrySlack * share;
    return { internal::keeperRatio * bounds.retryRatio, internal::keeperIncome * slack / std::max(window.count(), 1.0), std::max(1.0, internal::keeperSaved * slack) };
}

bool hasReserve(CellRetryBudget& allowance, const RetryBudgetParameters& terms, MonotonicTime now)
{
    internal::refill(allowance, terms, now);
    return allowance.available >= internal::reserve;
}

void deposit(CellRetryBudget& allowance, const RetryBudgetParameters& terms, MonotonicTime now)
{
    internal::refill(allowance, terms, now);
    allowance.available = std::min(terms.maxAvailable, allowance.available + terms.ratio);
}

bool tryWithdraw(CellRetryBudget& allowance, const RetryBudgetParameters& terms, MonotonicTime now)
{
    internal::refill(allowance, terms, now);
    if (allowance.available < 1)
        return false;
    allowance.available -= 1;
    return true;
}

} // namespace lacewingsail
