#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // The load balancer polls readiness once a second and removes a host after two failed polls. Until then the host
    // still accepts connections.
    constexpr std::chrono::milliseconds balancerReactionTime { 2300 };
    // Part of the grace period that is reserved for the exit of the process.
    constexpr std::chrono::milliseconds processExitMargin { 350 };
    // Part of the grace period in which the final responses, and those that waited behind them, are written.
    constexpr std::chrono::milliseconds finalResponsePeriod { 400 };
    // Part of the grace period that servers get at least for the requests that they work on.
    constexpr double minServingShare = 5.0 / 6;

} // namespace internal

MonotonicTime balancerReactedAt(const PlannedStop& stop) { return stop.startedAt + internal::balancerReactionTime; }

MonotonicTime finalResponsesAt(const PlannedStop& stop)
{
    const auto minServingTime = std::chrono::duration_cast<Duration>(stop.grace * internal::minServingShare);
    return std::min(exitsAt(stop), std::max(stop.startedAt + minServingTime, exitsAt(stop) - internal::finalResponsePeriod));
}

MonotonicTime exitsAt(const PlannedStop& stop)
{
    return stop.startedAt + std::max(std::chrono::milliseconds(0), stop.grace - internal::processExitMargin);
}

bool acceptsRequest(const PlannedStop& stop, MonotonicTime now, MonotonicTime deadline)
{
    return now < std::min(balancerReactedAt(stop), finalResponsesAt(stop)) || deadline <= finalResponsesAt(stop);
}

} // namespace lacewingsail
