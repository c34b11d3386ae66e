#pragma once

#include "FleetDirectory.h"
#include "GatewayCalls.h"
#include "PlacementCoordinator.h"

#include <functional>
#include <map>
#include <vector>

namespace lacewingsail {

/// \brief A server that a coordinator has chosen for one request.
struct PlacementReservation {
    LiveHost coordinator;
    BackendServerId server;
    std::uint64_t placementId = 0;
};

/// \brief What a request that asks for a server gets.
struct PlacementResponse {
    /// Nothing if no server of the cell has room.
    std::optional<PlacementReservation> reservation;
    /// Part of the request's benefit that is expected to be lost on its server.
    double expectedLoss = 0;
    std::chrono::milliseconds retryAfter { 0 };
    /// The request needs a further attempt, and the service has none left.
    bool retryBudgetExhausted = false;
    /// The request has time to wait for a free slot, and is to ask again after \ref retryAfter.
    bool shouldWait = false;
};

/// \brief Asks the hosts that place requests, and tells them how the requests ended.
///
/// For each cell of servers the fleet agrees on one host of the servers' zone, by rendezvous hashing over the live hosts.
/// Outcomes travel with the next demand to the same host, or by themselves after a moment.
class PlacementClient {
public:
    /// Nothing if no coordinator could be asked.
    using Callback = std::function<void(std::optional<PlacementResponse>)>;

    PlacementClient(FleetDirectory&, PlacementCoordinator&, EventLoop&, const Clock&);

    /// \brief Sets the calls to other hosts; without them only this host is asked.
    void connect(GatewayCalls& calls) { m_calls = &calls; }

    /// \brief Asks for a server of \p cell. The answer is called once, at once or later.
    void place(const PlacementCell& cell, const PlacementDemand&, Callback);

    /// \brief Tells how a request ended; its server and number are those of the reservation.
    void reportOutcome(const PlacementReservation&, PlacementOutcome);

private:
    struct UnsentOutcomes {
        Endpoint endpoint;
        std::vector<PlacementOutcome> outcomes;
    };

    std::optional<LiveHost> coordinatorFor(const PlacementCell&) const;
    std::vector<PlacementOutcome> takeUnsentOutcomes(const HostId& coordinator);
    void flush();

    FleetDirectory& m_directory;
    PlacementCoordinator& m_coordinator;
    EventLoop& m_loop;
    const Clock& m_clock;
    GatewayCalls* m_calls = nullptr;
    /// Coordinators that did not answer, and until when they are passed over.
    std::map<HostId, MonotonicTime> m_avoided;
    std::map<HostId, UnsentOutcomes> m_unsent;
    bool m_flushScheduled = false;
};

} // namespace lacewingsail
