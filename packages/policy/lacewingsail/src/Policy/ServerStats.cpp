#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cmath>

namespace lacewingsail {

namespace internal {

    // A gray failure lasts for several seconds; older outcomes say little about the next request.
    constexpr std::chrono::duration<double> statsHalfLife { 2.0 };

} // namespace internal

ServerStats operator+(const ServerStats& left, const ServerStats& right)
{
    return { left.inFlight + right.inFlight, left.answered + right.answered, left.failed + right.failed, left.totalAnswerMs + right.totalAnswerMs };
}

ServerStats subtractClamped(const ServerStats& whole, const ServerStats& part)
{
    return { std::max(0.0, whole.inFlight - part.inFlight), std::max(0.0, whole.answered - part.answered),
        std::max(0.0, whole.failed - part.failed), std::max(0.0, whole.totalAnswerMs - part.totalAnswerMs) };
}

void decay(ServerStats& stats, Duration elapsed)
{
    const double factor = std::exp2(-std::chrono::duration<double>(elapsed) / internal::statsHalfLife);
    stats.answered *= factor;
    stats.failed *= factor;
    stats.totalAnswerMs *= factor;
}

} // namespace lacewingsail
