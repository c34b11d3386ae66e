#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <cstddef>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief Rank of this host in the order in which hosts take over a task.
struct TaskRank {
    std::size_t precedingHosts = 0;
    std::size_t hostCount = 1;
};

/// \returns the rank of \p self for \p task, by rendezvous hashing among the hosts that are not leaving.
TaskRank taskRank(std::string_view task, const HostId& self, const std::vector<Host>& hosts);

/// \returns when this host should write a checkpoint unless another one appears earlier: between a quarter and half of
/// the retention after \p lastCheckpoint, staggered by rank.
MonotonicTime checkpointDueAt(MonotonicTime lastCheckpoint, std::chrono::milliseconds retention, TaskRank);

/// \returns when this host should append withdrawals that are missing from the log, unless they appear there earlier.
/// \param missingSince since when the host has known of them while the log was available.
MonotonicTime withdrawalsDueAt(MonotonicTime missingSince, TaskRank);

} // namespace lacewingsail
