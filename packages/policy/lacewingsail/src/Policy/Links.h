#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace lacewingsail {

/// \brief Which way words pass between this host and another.
enum class LinkDirection {
    Both,
    /// This host hears the other, which says that it does not hear this one.
    IncomingOnly,
    /// This host does not hear the other.
    NotHeard,
};

/// \returns the direction's name in events and answers.
const char* nameOf(LinkDirection);

/// \brief What is known of the link to one other host.
struct Link {
    /// Since when the other host is listed; it is given some time to be heard first.
    MonotonicTime listedSince {};
    std::optional<MonotonicTime> lastHeardAt;
    /// When the other host last said which hosts it does not hear, and whether this host was among them.
    bool doesNotHearUs = false;
    /// Set once the other host said itself that it takes a planned stop.
    bool leaving = false;
};

using LinkTable = std::map<HostId, Link>;

/// \brief Adds links for newly listed hosts and removes those of hosts that are listed no more.
void updateListedHosts(LinkTable&, const std::vector<Host>& listed, const HostId& self, MonotonicTime now);

/// \brief Notes what another host said of itself and of whom it does not hear. An unlisted host is ignored.
void recordHeard(LinkTable&, const HostId& from, const HostId& self, const std::vector<HostId>& unheardByIt, bool leaving, MonotonicTime now);

/// \returns how long a host may be silent before it counts as not heard, given that one exchange in \p interval goes
/// to one host after the other.
std::chrono::milliseconds silenceTimeout(std::size_t listedHosts, std::chrono::milliseconds interval);

LinkDirection linkDirection(const Link&, MonotonicTime now, std::chrono::milliseconds silence);

} // namespace lacewingsail
