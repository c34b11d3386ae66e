#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <cstddef>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief How many hosts come before this one in the order in which hosts take up a task, and how many there are.
struct TaskRank {
    std::size_t precedingHosts = 0;
    std::size_t hostCount = 1;
};

/// \returns the rank of \p self for a task by rendezvous hashing among the hosts that are not leaving.
TaskRank taskRank(std::string_view task, const HostId& self, const std::vector<Host>& hosts);

/// \returns when this host should write a checkpoint unless one shows up before: between a quarter and half of the
/// retention after \p lastCheckpoint, host after host in the order of their ranks.
MonotonicTime checkpointDueAt(MonotonicTime lastCheckpoint, std::chrono::milliseconds retention, TaskRank);

/// \returns when this host should append withdrawals that the log lacks, unless they show up there before.
/// \param lackingSince since when the host has both known them and heard the log.
MonotonicTime withdrawalsDueAt(MonotonicTime lackingSince, TaskRank);

} // namespace lacewingsail
