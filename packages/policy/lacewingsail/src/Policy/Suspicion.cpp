#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // A spell of failures lasts for several seconds. The first failure may be chance (about one request in a hundred fails
    // on a sound server); each further one doubles the time.
    constexpr std::chrono::milliseconds firstSuspicion { 1200 };
    constexpr std::chrono::milliseconds longestSuspicion { 4000 };
    constexpr int mostDoublings = 2;
    // A failure later than this after the last one begins a new count.
    constexpr std::chrono::milliseconds strikeMemory { 5000 };
    // Failures that requests under way at the same moment report are one strike.
    constexpr std::chrono::milliseconds sameStrike { 150 };

} // namespace internal

void noteFailure(Suspicion& suspicion, MonotonicTime failedAt)
{
    if (failedAt <= suspicion.failedAt)
        return;
    const Duration since = failedAt - suspicion.failedAt;
    if (suspicion.strikes == 0 || since >= internal::strikeMemory)
        suspicion.strikes = 1;
    else if (since >= internal::sameStrike)
        ++suspicion.strikes;
    suspicion.failedAt = failedAt;
    const auto doubled = internal::firstSuspicion * (1 << std::min(suspicion.strikes - 1, internal::mostDoublings));
    suspicion.until = std::max(suspicion.until, failedAt + std::min(doubled, internal::longestSuspicion));
}

void noteSuccess(Suspicion& suspicion, MonotonicTime begunAt)
{
    // What began before the failure says nothing about the time after it.
    if (suspicion.strikes > 0 && begunAt > suspicion.failedAt)
        --suspicion.strikes;
}

} // namespace lacewingsail
