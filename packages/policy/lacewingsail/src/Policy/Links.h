#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace lacewingsail {

/// \brief Directions in which messages arrive between this host and another.
enum class LinkDirection {
    Both,
    /// This host receives messages of the other host, which reports that it receives none of this host.
    IncomingOnly,
    /// This host receives no messages of the other host.
    NotHeard,
};

/// \returns the name of the direction in events and in responses to operators.
const char* nameOf(LinkDirection);

/// \brief State of the network link to one other host.
struct Link {
    /// When the other host was listed; counts as the time of its last message until a first one arrives.
    MonotonicTime listedSince {};
    std::optional<MonotonicTime> lastHeardAt;
    /// Whether the other host last reported that it does not hear this host.
    bool doesNotHearUs = false;
    /// Whether the other host announced its planned stop.
    bool leaving = false;
};

using LinkTable = std::map<HostId, Link>;

/// \brief Adds links for newly listed hosts and removes those of hosts that are no longer listed.
void updateListedHosts(LinkTable&, const std::vector<Host>& listed, const HostId& self, MonotonicTime now);

/// \brief Records a message of another host: whether it is leaving, and which hosts it does not hear. Messages of
/// unlisted hosts are ignored.
void recordHeard(LinkTable&, const HostId& from, const HostId& self, const std::vector<HostId>& unheardHosts, bool leaving, MonotonicTime now);

/// \returns how long a host may be silent before it counts as not heard, if each host exchanges state with one host per
/// \p interval in turn.
/// \param listedHosts number of listed hosts without this one.
std::chrono::milliseconds silenceTimeout(std::size_t listedHosts, std::chrono::milliseconds interval);

LinkDirection linkDirection(const Link&, MonotonicTime now, std::chrono::milliseconds timeout);

} // namespace lacewingsail
