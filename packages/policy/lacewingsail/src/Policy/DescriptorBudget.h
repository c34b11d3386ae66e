#pragma once

#include <cstddef>

namespace lacewingsail {

/// \brief Shares of the file descriptors that a process may open. What neither share covers stays with the host itself: listeners,
/// probes, the store and connections between hosts.
struct DescriptorBudget {
    /// Most open connections of callers.
    std::size_t callerConnections = 0;
    /// Most open connections to backend servers.
    std::size_t backendConnections = 0;
};

/// \param limit how many descriptors the process may have open at once.
DescriptorBudget makeDescriptorBudget(std::size_t limit);

} // namespace lacewingsail
