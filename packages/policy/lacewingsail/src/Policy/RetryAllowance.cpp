#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // Part of the bound that is used: arrivals that cross a window's edge, and hosts that do not know of each other yet,
    // need the rest.
    constexpr double usedRatio = 0.9;
    // The slack of a window pays for what is saved up at its begin and for the steady income in it, half each.
    constexpr double usedSlack = 0.4;
    // Below this a host could never send a request again, however many hosts share the slack.
    constexpr double leastSaved = 1.0;

    void refill(RetryAllowance& allowance, const RetryTerms& terms, MonotonicTime now)
    {
        if (!allowance.begun) {
            allowance = { terms.most, true, now };
            return;
        }
        const std::chrono::duration<double> elapsed = now - allowance.refilledAt;
        allowance.refilledAt = now;
        allowance.available = std::min(terms.most, allowance.available + elapsed.count() * terms.perSecond);
    }

} // namespace internal

RetryTerms retryTerms(const GatewayBounds& bounds, std::size_t hosts)
{
    const double share = internal::usedSlack * bounds.retrySlack / static_cast<double>(std::max<std::size_t>(hosts, 1));
    const std::chrono::duration<double> window = bounds.retryWindow;
    return { internal::usedRatio * bounds.retryRatio, share / std::max(window.count(), 1.0), std::max(internal::leastSaved, share) };
}

void earn(RetryAllowance& allowance, const RetryTerms& terms, MonotonicTime now)
{
    internal::refill(allowance, terms, now);
    allowance.available = std::min(terms.most, allowance.available + terms.ratio);
}

bool take(RetryAllowance& allowance, const RetryTerms& terms, MonotonicTime now)
{
    internal::refill(allowance, terms, now);
    if (allowance.available < 1)
        return false;
    allowance.available -= 1;
    return true;
}

} // namespace lacewingsail
