#pragma once

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief Retry budget of one placement cell, kept by its coordinator: the cell's part of the retries that a service's requests
/// may make.
struct CellRetryBudget {
    /// Retries that may be made now. Starts at zero, since the previous coordinator may just have used what was available.
    double available = 0;
    bool initialized = false;
    MonotonicTime refilledAt {};
    /// Until then a part is kept for urgent requests.
    MonotonicTime keptUntil {};
};

/// \brief Refill rates and upper limit of a retry budget.
struct RetryBudgetParameters {
    /// Retries added by each request.
    double ratio = 0;
    /// Retries added per second, without any request.
    double perSecond = 0;
    double maxAvailable = 0;
};

/// \returns the parameters for a cell with \p share of a service's servers, 0 to 1. The coordinators of all its cells together
/// stay below the operators' bounds.
RetryBudgetParameters cellRetryBudgetParameters(const GatewayBounds&, double share);

/// \brief Records a request, which adds \ref RetryBudgetParameters::ratio retries.
void deposit(CellRetryBudget&, const RetryBudgetParameters&, MonotonicTime now);

/// \returns whether at least the reserve for failed requests is available, so that a request may be sent to a suspected server.
bool hasReserve(CellRetryBudget&, const RetryBudgetParameters&, MonotonicTime now);

/// \brief Takes one retry. \returns false, and takes nothing, if none is available for a request of this priority.
///
/// While urgent requests of the cell are retried, a part of the budget is kept for them, as less urgent ones would use it up.
bool tryWithdraw(CellRetryBudget&, const RetryBudgetParameters&, Priority, MonotonicTime now);

} // namespace lacewingsail
