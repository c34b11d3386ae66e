#pragma once

#include <atomic>
#include <cstdint>

namespace lacewingsail {

/// \brief Retry budget of a service on one host: every first attempt deposits a fraction of a retry. Used by all request
/// threads; lock-free.
struct RetryBudget {
    /// Available retries, in thousandths of a retry.
    std::atomic<std::int64_t> milliRetries { 10'000 };
};

/// \brief Credits the budget for a first attempt.
void deposit(RetryBudget&);

/// \brief Takes one retry. \returns false, and takes nothing, if none is available.
bool tryWithdraw(RetryBudget&);

} // namespace lacewingsail
