#pragma once

#include "FleetDirectory.h"
#include "HostCalls.h"
#include "PlacementCoordinator.h"

#include <functional>
#include <map>
#include <vector>

namespace lacewingsail {

/// \brief A server that a coordinator has chosen for one request, and the id under which it counts the request there.
struct PlacementReservation {
    LiveHost coordinator;
    BackendServerId server;
    std::uint64_t placementId = 0;
};

/// \brief A demand that has been sent to a coordinator.
struct PlacementTicket {
    LiveHost coordinator;
    std::uint64_t placementId = 0;
};

/// \brief Result of asking for a server.
struct PlacementResponse {
    /// Nothing if no server of the cell has free capacity.
    std::optional<PlacementReservation> reservation;
    /// Share of the request's benefit that is expected to be lost on the server.
    double expectedLoss = 0;
    /// Time after which there may be free capacity.
    std::chrono::milliseconds retryAfter { 0 };
    /// The request is a retry, and the cell's share of the service's retry budget is exhausted.
    bool retryBudgetExhausted = false;
    /// The request has time to wait for a free slot, and should ask again after \ref retryAfter.
    bool shouldWait = false;
    /// As \ref PlacementDecision::refusedShare.
    double refusedShare = 0;
};

/// \brief Asks coordinators for servers, and reports to them how the requests ended.
///
/// Rendezvous hashing over the live hosts of the servers' availability zone, weighted with their processors, selects a
/// coordinator for each cell. Outcomes are sent with the next demand to the same coordinator, or on their own after a short delay,
/// until the coordinator acknowledges them. A placement whose reply was not received in time is cancelled.
class PlacementClient {
public:
    /// Called with nothing if no coordinator answered, or the coordinator knows no server of the cell.
    using Callback = std::function<void(std::optional<PlacementResponse>)>;

    /// \param firstPlacementId should be random, so that the ids of all hosts and of their earlier runs differ.
    PlacementClient(FleetDirectory&, PlacementCoordinator&, EventLoop&, const Clock&, std::uint64_t firstPlacementId);

    /// \brief Sets the calls to other hosts; without them only this host is asked.
    void connect(HostCalls& calls) { m_calls = &calls; }

    /// \brief Asks for a server of \p cell. The callback is called once, within the call or later.
    /// \returns nothing if there is no coordinator to ask.
    std::optional<PlacementTicket> place(const PlacementCell& cell, const PlacementDemand&, Callback);

    /// \brief Tells the coordinator that the request needs no server any more. The callback is still called.
    void cancel(const PlacementTicket&);

    /// \brief Reports how a request ended; server and placement id of the outcome are taken from the reservation.
    void reportOutcome(const PlacementReservation&, PlacementOutcome);

private:
    struct PendingOutcome {
        PlacementOutcome outcome;
        /// The coordinator has dropped the placement by then.
        MonotonicTime discardAt {};
    };
    /// \brief Outcomes that a coordinator has not acknowledged.
    struct UnsentOutcomes {
        Endpoint endpoint;
        std::vector<PendingOutcome> outcomes;
    };
    /// \brief The live hosts of a zone as of a moment ago.
    struct ZoneHosts {
        std::vector<LiveHost> hosts;
        MonotonicTime validUntil {};
    };

    const std::vector<LiveHost>& hostsInZone(const ZoneId&);
    std::optional<LiveHost> coordinatorFor(const PlacementCell&);
    std::vector<PendingOutcome> takeUnsentOutcomes(const HostId& coordinator);
    void addUnsentOutcomes(const LiveHost& coordinator, std::vector<PendingOutcome>);
    void flush();

    FleetDirectory& m_directory;
    PlacementCoordinator& m_coordinator;
    EventLoop& m_loop;
    const Clock& m_clock;
    HostCalls* m_calls = nullptr;
    /// Coordinators that did not answer, and until when they are skipped.
    std::map<HostId, MonotonicTime> m_avoidUntil;
    std::map<HostId, UnsentOutcomes> m_unsent;
    std::map<ZoneId, ZoneHosts> m_zoneHosts;
    std::uint64_t m_nextPlacementId;
    bool m_flushScheduled = false;
};

} // namespace lacewingsail
