#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <cstddef>
#include <random>
#include <vector>

namespace lacewingsail {

/// \brief Order in which a host exchanges state with the others: each host once per round, alternating between zones, in
/// an order that is shuffled for every round.
struct ExchangeSchedule {
    std::vector<HostId> order;
    std::size_t next = 0;
    std::minstd_rand random;
};

/// \returns the next hosts to exchange state with: at most \p count, each at most once.
std::vector<Host> nextPartners(ExchangeSchedule&, const std::vector<Host>& peers, std::size_t count);

/// \returns the number of hosts to exchange state with in one interval: one while the log is available, otherwise enough
/// to reach half of the hosts within half of \p bound, up to a maximum.
/// \param listedHosts number of listed hosts including this one.
std::size_t partnerCount(std::size_t listedHosts, bool logAvailable, std::chrono::milliseconds bound, std::chrono::milliseconds interval);

} // namespace lacewingsail
