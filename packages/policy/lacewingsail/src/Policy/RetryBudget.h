#pragma once

#include <atomic>
#include <cstdint>

namespace lacewingsail {

/// \brief Further attempts that a service's requests may make, earned by first attempts. Used by all request
/// threads; takes no lock.
struct RetryBudget {
    /// In thousandths of an attempt.
    std::atomic<std::int64_t> milliRetries { 10'000 };
};

/// \brief Notes a first attempt, which earns a share of a further one.
void deposit(RetryBudget&);

/// \brief Takes one further attempt. \returns false, and takes nothing, if none is left.
bool tryWithdraw(RetryBudget&);

} // namespace lacewingsail
