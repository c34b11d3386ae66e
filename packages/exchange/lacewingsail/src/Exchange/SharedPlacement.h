#pragma once

#include "FleetDirectory.h"
#include "GatewayCalls.h"
#include "PlacementKeeper.h"

#include <functional>
#include <map>
#include <vector>

namespace lacewingsail {

/// \brief A server that a keeper has chosen for one request.
struct PlacementTicket {
    LiveHost keeper;
    BackendServerId server;
    std::uint64_t number = 0;
};

/// \brief What a request that asks for a server gets.
struct SharedReply {
    /// Nothing if no server of the cell has room.
    std::optional<PlacementTicket> ticket;
    /// Part of the request's benefit that is expected to be lost on its server.
    double loss = 0;
    std::chrono::milliseconds roomAfter { 0 };
    /// The request needs a further attempt, and the service has none left.
    bool allowanceUsed = false;
    /// The request has time to wait for a free slot, and is to ask again after \ref roomAfter.
    bool waits = false;
};

/// \brief Asks the hosts that place requests, and tells them how the requests ended.
///
/// For each cell of servers the fleet agrees on one host of the servers' zone, by rendezvous hashing over the live hosts.
/// Outcomes travel with the next demand to the same host, or by themselves after a moment.
class SharedPlacement {
public:
    /// Nothing if no keeper could be asked.
    using Answer = std::function<void(std::optional<SharedReply>)>;

    SharedPlacement(FleetDirectory&, PlacementKeeper&, EventLoop&, const Clock&);

    /// \brief Sets the calls to other hosts; without them only this host is asked.
    void connect(GatewayCalls& calls) { m_calls = &calls; }

    /// \brief Asks for a server of \p cell. The answer is called once, at once or later.
    void ask(const PlacementCell& cell, const PlacementDemand&, Answer);

    /// \brief Tells how a request ended; its server and number are those of the ticket.
    void report(const PlacementTicket&, PlacementOutcome);

private:
    struct Unsent {
        Endpoint endpoint;
        std::vector<PlacementOutcome> outcomes;
    };

    std::optional<LiveHost> keeperOf(const PlacementCell&) const;
    std::vector<PlacementOutcome> takeUnsent(const HostId& keeper);
    void flush();

    FleetDirectory& m_directory;
    PlacementKeeper& m_keeper;
    EventLoop& m_loop;
    const Clock& m_clock;
    GatewayCalls* m_calls = nullptr;
    /// Keepers that did not answer, and until when they are passed over.
    std::map<HostId, MonotonicTime> m_avoided;
    std::map<HostId, Unsent> m_unsent;
    bool m_flushScheduled = false;
};

} // namespace lacewingsail
