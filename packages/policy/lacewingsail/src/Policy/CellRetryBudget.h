#pragma once

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief A part of the further attempts that a service's requests may make: that of the host which places the requests of
/// a cell.
struct CellRetryBudget {
    /// Nothing is saved at first: another host may have used what was there a moment ago.
    double available = 0;
    bool initialized = false;
    MonotonicTime refilledAt {};
};

/// \brief Terms of an allowance.
struct RetryBudgetParameters {
    /// Further attempts that each request earns.
    double ratio = 0;
    /// Further attempts a second without any request.
    double perSecond = 0;
    double maxAvailable = 0;
};

/// \returns the terms of a host that places the requests for \p share of a service's servers, 0 to 1. All such hosts
/// together stay below the bounds of the operators.
RetryBudgetParameters cellRetryBudgetParameters(const GatewayBounds&, double share);

/// \brief Notes a request, which earns a share of a further attempt.
void deposit(CellRetryBudget&, const RetryBudgetParameters&, MonotonicTime now);

/// \returns whether further attempts are left beyond a reserve, so that a request may try an uncertain server.
bool hasReserve(CellRetryBudget&, const RetryBudgetParameters&, MonotonicTime now);

/// \brief Takes one further attempt. \returns false, and takes nothing, if none is left.
bool tryWithdraw(CellRetryBudget&, const RetryBudgetParameters&, MonotonicTime now);

} // namespace lacewingsail
