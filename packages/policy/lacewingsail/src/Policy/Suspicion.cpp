#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // About the length of the users' spells of failures (1 to 2 s, seen in the logs of their bench). Longer, chance
    // failures (one request in a hundred) would take too much capacity out of use; a spell that goes on is prolonged by
    // the next failure.
    constexpr std::chrono::milliseconds suspicionTime { 1000 };

} // namespace internal

void noteFailure(Suspicion& suspicion, MonotonicTime failedAt)
{
    suspicion.until = std::max(suspicion.until, failedAt + internal::suspicionTime);
}

} // namespace lacewingsail
