#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cassert>

namespace lacewingsail {

namespace internal {

    // The log accepts several hundred appends per second; the hosts are staggered so that the record of the first one
    // makes the others unnecessary.
    constexpr std::chrono::milliseconds delayPerRank { 100 };

} // namespace internal

TaskRank taskRank(std::string_view task, const HostId& self, const std::vector<Host>& hosts)
{
    TaskRank rank;
    const std::uint64_t selfWeight = rendezvousWeight(task, self.value());
    for (const Host& host : hosts) {
        if (host.leaving || host.id == self)
            continue;
        ++rank.hostCount;
        rank.precedingHosts += rendezvousWeight(task, host.id.value()) > selfWeight ? 1 : 0;
    }
    return rank;
}

MonotonicTime checkpointDueAt(MonotonicTime lastCheckpoint, std::chrono::milliseconds retention, TaskRank rank)
{
    assert(rank.hostCount > 0);
    const auto quarter = std::chrono::duration_cast<std::chrono::microseconds>(retention) / 4;
    return lastCheckpoint + quarter + quarter * rank.precedingHosts / rank.hostCount;
}

MonotonicTime withdrawalsDueAt(MonotonicTime missingSince, TaskRank rank) { return missingSince + internal::delayPerRank * rank.precedingHosts; }

} // namespace lacewingsail
