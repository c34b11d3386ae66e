#pragma once

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief A planned stop that has begun. Whatever a host accepts during it has to be answered before the process exits.
struct PlannedStop {
    MonotonicTime startedAt {};
    /// Time from the start until the platform kills the process.
    std::chrono::milliseconds grace { 0 };
};

/// \returns until when the load balancer may still direct callers to the host.
MonotonicTime balancerReactedAt(const PlannedStop&);

/// \returns when all requests that are still unfinished get their final response.
MonotonicTime finalResponsesAt(const PlannedStop&);

/// \returns when the process exits, even if responses are still being written.
MonotonicTime exitsAt(const PlannedStop&);

/// \returns whether the host should serve a request that it receives at \p now: for as long as callers are directed to it, and
/// afterwards if the request has its result by \p deadline before the host ends all requests.
bool acceptsRequest(const PlannedStop&, MonotonicTime now, MonotonicTime deadline);

} // namespace lacewingsail
