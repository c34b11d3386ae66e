#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // A host of 430 has connections from and to most of the others, some 900, and the users' platform reserves 200 for files.
    constexpr std::size_t hostShareDivisor = 3;
    // Listeners, event loops, the log and a few other hosts.
    constexpr std::size_t minHostShare = 40;

} // namespace internal

// A request in flight occupies one connection to a backend server at a time, and the connections of idle callers none.
DescriptorBudget makeDescriptorBudget(std::size_t limit)
{
    const std::size_t hostShare = std::max(limit / internal::hostShareDivisor, std::min(limit / 2, internal::minHostShare));
    const std::size_t rest = limit - hostShare;
    return { std::max<std::size_t>(rest / 2, 1), std::max<std::size_t>(rest - rest / 2, 1) };
}

} // namespace lacewingsail
