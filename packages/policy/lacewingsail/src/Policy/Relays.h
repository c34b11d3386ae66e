#pragma once

#include <lacewingsail/World.h>

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief A host that is believed to be alive.
struct LiveHost {
    HostId id;
    ZoneId zone;
    /// For calls from other hosts.
    Endpoint peerEndpoint;
    /// Processor cores available to it; zero if unknown.
    double processorShare = 0;

    auto operator<=>(const LiveHost&) const = default;
};

/// \brief Number of relays, through which hosts exchange state, per availability zone; the second one covers a failure of the
/// first.
constexpr std::size_t relaysPerZone = 2;

/// \brief Ranks \p hosts for \p key by rendezvous hashing: every caller that knows the same hosts gets the same order.
/// Allocates.
/// \returns the first \p maxCount hosts, or all if there are fewer.
std::vector<const LiveHost*> rankHosts(std::span<const LiveHost> hosts, std::string_view key, std::size_t maxCount);

/// \brief Like \ref rankHosts, but a host with twice the processor cores is first for twice as many keys. Hosts whose cores are not
/// known count as small ones. Allocates.
std::vector<const LiveHost*> rankHostsByProcessor(std::span<const LiveHost> hosts, std::string_view key, std::size_t maxCount);

/// \returns the relays of \p zone, in order of preference: hosts with more of a processor first, as a relay serves all hosts of
/// its zone. Allocates.
std::vector<const LiveHost*> relaysInZone(std::span<const LiveHost> hosts, const ZoneId& zone);

} // namespace lacewingsail
