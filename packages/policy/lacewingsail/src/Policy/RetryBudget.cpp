#include <lacewingsail/Policy.h>

namespace lacewingsail {

namespace internal {

    constexpr std::int64_t oneRetry = 1000;
    constexpr std::int64_t depositPerFirstAttempt = 150;
    constexpr std::int64_t maxBudget = 10 * oneRetry;

} // namespace internal

void deposit(RetryBudget& budget)
{
    std::int64_t available = budget.milliRetries.load(std::memory_order_relaxed);
    while (available < internal::maxBudget
        && !budget.milliRetries.compare_exchange_weak(available, available + internal::depositPerFirstAttempt, std::memory_order_relaxed)) { }
}

bool tryWithdraw(RetryBudget& budget)
{
    std::int64_t available = budget.milliRetries.load(std::memory_order_relaxed);
    while (available >= internal::oneRetry) {
        if (budget.milliRetries.compare_exchange_weak(available, available - internal::oneRetry, std::memory_order_relaxed))
            return true;
    }
    return false;
}

} // namespace lacewingsail
