#pragma once

#include <lacewingsail/World.h>

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief A host that is alive as far as is known.
struct LiveHost {
    HostId id;
    ZoneId zone;
    Endpoint peerEndpoint;
    /// What it has of a processor core; zero if that is not known. No choice rests on it yet.
    double processorShare = 0;

    auto operator<=>(const LiveHost&) const = default;
};

/// \brief Relays that each availability zone has: a second one for the failure of the first.
constexpr std::size_t relaysPerZone = 2;

/// \brief Ranks \p hosts for \p subject by rendezvous hashing: all hosts that know the same hosts get the same order.
/// Allocates.
/// \returns the \p maxCount first ones, or all if there are fewer.
std::vector<const LiveHost*> rankHosts(std::span<const LiveHost> hosts, std::string_view subject, std::size_t maxCount);

/// \returns the relays of \p zone, first choice first.
std::vector<const LiveHost*> relaysInZone(std::span<const LiveHost> hosts, const ZoneId& zone);

} // namespace lacewingsail
