#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <cstddef>
#include <random>
#include <vector>

namespace lacewingsail {

/// \brief The order in which a host talks to the others: each once a round, zone after zone, in an order that is
/// drawn anew for every round.
struct ExchangeSchedule {
    std::vector<HostId> order;
    std::size_t next = 0;
    std::minstd_rand random;
};

/// \returns the next partners, at most \p count and each at most once.
std::vector<Host> nextPartners(ExchangeSchedule&, const std::vector<Host>& peers, std::size_t count);

/// \returns with how many partners to exchange in one interval: one while the log is heard, otherwise as many as it
/// takes to hear half of the hosts within half of the bound.
std::size_t partnerCount(std::size_t listedHosts, bool logHeard, std::chrono::milliseconds bound, std::chrono::milliseconds interval);

} // namespace lacewingsail
