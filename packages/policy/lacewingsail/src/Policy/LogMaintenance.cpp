#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cassert>

namespace lacewingsail {

namespace internal {

    // The log takes several hundred appends a second; hosts take turns so that the first one's record spares the rest.
    constexpr std::chrono::milliseconds turnBetweenHosts { 100 };

} // namespace internal

TaskRank taskRank(std::string_view task, const HostId& self, const std::vector<Host>& hosts)
{
    TaskRank rank;
    const std::uint64_t own = rendezvousWeight(task, self.value());
    for (const Host& host : hosts) {
        if (host.leaving || host.id == self)
            continue;
        ++rank.hostCount;
        rank.precedingHosts += rendezvousWeight(task, host.id.value()) > own ? 1 : 0;
    }
    return rank;
}

MonotonicTime checkpointDueAt(MonotonicTime lastCheckpoint, std::chrono::milliseconds retention, TaskRank rank)
{
    assert(rank.hostCount > 0);
    const auto quarter = std::chrono::duration_cast<std::chrono::microseconds>(retention) / 4;
    return lastCheckpoint + quarter + quarter * rank.precedingHosts / rank.hostCount;
}

MonotonicTime withdrawalsDueAt(MonotonicTime lackingSince, TaskRank rank) { return lackingSince + internal::turnBetweenHosts * rank.precedingHosts; }

} // namespace lacewingsail
