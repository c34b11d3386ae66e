#pragma once

#include "FleetDirectory.h"
#include "GatewayCalls.h"

#include <functional>
#include <map>
#include <set>

namespace lacewingsail {

/// \brief Spreads failures of backend servers through the fleet within milliseconds.
///
/// A host tells the first relay of its availability zone; that relay tells the hosts of its zone and the first relays of
/// the other zones, which tell their hosts. News is collected for a moment and a server told of again only after a while,
/// so that a server that fails every request costs a few calls a second and host.
class ServerWarnings {
public:
    using Heard = std::function<void(const BackendServerId&, MonotonicTime failedAt)>;

    /// \param heard called for each failure that another host tells of.
    ServerWarnings(FleetDirectory&, EventLoop&, const Clock&, Heard heard);

    void connect(GatewayCalls& calls) { m_calls = &calls; }

    /// \brief Tells the others of a failure that this host has seen.
    void raise(const BackendServerId&);

    /// \brief Takes in what another host tells.
    void take(const FailureNews&);

private:
    struct Told {
        MonotonicTime failedAt {};
        MonotonicTime toldAt {};
    };

    bool isNews(const BackendServerId&, MonotonicTime failedAt);
    void queue(const BackendServerId&, MonotonicTime failedAt, const HostId& from);
    void send();
    std::vector<LiveHost> receivers(const std::set<HostId>& senders) const;

    FleetDirectory& m_directory;
    EventLoop& m_loop;
    const Clock& m_clock;
    Heard m_heard;
    GatewayCalls* m_calls = nullptr;
    std::map<BackendServerId, Told> m_told;
    std::map<BackendServerId, MonotonicTime> m_queued;
    std::set<HostId> m_senders;
    bool m_scheduled = false;
};

} // namespace lacewingsail
