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
    Endpoint peers;

    auto operator<=>(const LiveHost&) const = default;
};

/// \brief Relays that each availability zone has: a second one for the failure of the first.
constexpr std::size_t relaysPerZone = 2;

/// \brief Ranks \p hosts for \p subject by rendezvous hashing: all hosts that know the same hosts get the same order.
/// Allocates.
std::vector<const LiveHost*> rankHosts(std::span<const LiveHost> hosts, std::string_view subject, std::size_t most);

/// \returns the relays of \p zone, first choice first.
std::vector<const LiveHost*> relaysOf(std::span<const LiveHost> hosts, const ZoneId& zone);

} // namespace lacewingsail
