#pragma once

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief One host's part of the further attempts that a service's requests may make.
struct RetryAllowance {
    double available = 0;
    bool begun = false;
    MonotonicTime refilledAt {};
};

/// \brief Terms of an allowance.
struct RetryTerms {
    /// Further attempts that each request earns.
    double ratio = 0;
    /// Further attempts a second without any request.
    double perSecond = 0;
    double most = 0;
};

/// \returns the terms under which all \p hosts together stay below the bounds of the operators.
RetryTerms retryTerms(const GatewayBounds&, std::size_t hosts);

/// \brief Notes a request, which earns a share of a further attempt.
void earn(RetryAllowance&, const RetryTerms&, MonotonicTime now);

/// \brief Takes one further attempt. \returns false, and takes nothing, if none is left.
bool take(RetryAllowance&, const RetryTerms&, MonotonicTime now);

} // namespace lacewingsail
