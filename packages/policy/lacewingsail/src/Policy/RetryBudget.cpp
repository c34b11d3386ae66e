#include <lacewingsail/Policy.h>

namespace lacewingsail {

namespace internal {

    constexpr std::int64_t oneAttempt = 1000;
    constexpr std::int64_t earnedByFirstAttempt = 150;
    constexpr std::int64_t largestBudget = 10 * oneAttempt;

} // namespace internal

void deposit(RetryBudget& budget)
{
    std::int64_t held = budget.milliRetries.load(std::memory_order_relaxed);
    while (held < internal::largestBudget
        && !budget.milliRetries.compare_exchange_weak(held, held + internal::earnedByFirstAttempt, std::memory_order_relaxed)) { }
}

bool tryWithdraw(RetryBudget& budget)
{
    std::int64_t held = budget.milliRetries.load(std::memory_order_relaxed);
    while (held >= internal::oneAttempt) {
        if (budget.milliRetries.compare_exchange_weak(held, held - internal::oneAttempt, std::memory_order_relaxed))
            return true;
    }
    return false;
}

} // namespace lacewingsail
