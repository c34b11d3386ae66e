#include <lacewingsail/Exchange.h>

#include <lacewingsail/Observe.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // Hosts that may coordinate a cell; while none of them is available, hosts choose by their own view of the servers.
    constexpr std::size_t maxCoordinators = 2;
    // Long enough for a host to restart; meanwhile the second-ranked host is the coordinator.
    constexpr std::chrono::milliseconds coordinatorAvoidancePeriod { 1000 };
    // A tenth of the usual processing times: the coordinator's view of the servers is this old at most.
    constexpr std::chrono::milliseconds outcomeDelay { 30 };
    constexpr std::size_t maxUnsentOutcomes = 256;
    constexpr std::chrono::milliseconds redeliveryInterval { 250 };
    // Requests end within some seconds, and their placements with them.
    constexpr std::chrono::seconds outcomeRetention { 5 };
    constexpr std::chrono::milliseconds zoneHostsPeriod { 250 };

    template <typename Pending>
    std::vector<PlacementOutcome> outcomesOf(const std::vector<Pending>& pending)
    {
        std::vector<PlacementOutcome> outcomes;
        for (const Pending& entry : pending)
            outcomes.push_back(entry.outcome);
        return outcomes;
    }

} // namespace internal

PlacementClient::PlacementClient(FleetDirectory& directory, PlacementCoordinator& coordinator, EventLoop& loop, const Clock& clock, std::uint64_t firstPlacementId)
    : m_directory(directory)
    , m_coordinator(coordinator)
    , m_loop(loop)
    , m_clock(clock)
    , m_nextPlacementId(firstPlacementId)
{
}

const std::vector<LiveHost>& PlacementClient::hostsInZone(const ZoneId& zone)
{
    const MonotonicTime now = m_clock.now();
    ZoneHosts& known = m_zoneHosts[zone];
    if (now >= known.validUntil) {
        known.hosts = m_directory.liveHosts(now);
        std::erase_if(known.hosts, [&](const LiveHost& host) { return host.zone != zone; });
        known.validUntil = now + internal::zoneHostsPeriod;
    }
    return known.hosts;
}

std::optional<LiveHost> PlacementClient::coordinatorFor(const PlacementCell& cell)
{
    const MonotonicTime now = m_clock.now();
    for (const LiveHost* host : rankHostsByProcessor(hostsInZone(cell.zone), coordinatorKey(cell), internal::maxCoordinators)) {
        const auto avoided = m_avoidUntil.find(host->id);
        if (avoided == m_avoidUntil.end() || now >= avoided->second)
            return *host;
    }
    return std::nullopt;
}

std::vector<PlacementClient::PendingOutcome> PlacementClient::takeUnsentOutcomes(const HostId& coordinator)
{
    const auto found = m_unsent.find(coordinator);
    if (found == m_unsent.end())
        return {};
    std::vector<PendingOutcome> outcomes = std::move(found->second.outcomes);
    m_unsent.erase(found);
    return outcomes;
}

void PlacementClient::addUnsentOutcomes(const LiveHost& coordinator, std::vector<PendingOutcome> outcomes)
{
    const MonotonicTime now = m_clock.now();
    // A placement without a recorded outcome expires at the coordinator at the request's deadline.
    std::erase_if(outcomes, [now](const PendingOutcome& pending) { return now >= pending.discardAt; });
    if (outcomes.empty())
        return;
    UnsentOutcomes& unsent = m_unsent[coordinator.id];
    unsent.endpoint = coordinator.peerEndpoint;
    for (PendingOutcome& pending : outcomes) {
        if (unsent.outcomes.size() < internal::maxUnsentOutcomes)
            unsent.outcomes.push_back(std::move(pending));
    }
    if (std::exchange(m_flushScheduled, true))
        return;
    m_loop.after(internal::outcomeDelay, [this] { flush(); });
}

std::optional<PlacementTicket> PlacementClient::place(const PlacementCell& cell, const PlacementDemand& demand, Callback callback)
{
    const auto coordinator = coordinatorFor(cell);
    if (!coordinator) {
        callback(std::nullopt);
        return std::nullopt;
    }
    const auto respond = [callback = std::move(callback), coordinator = *coordinator](const std::optional<PlacementDecision>& decision) {
        if (!decision)
            return callback(std::nullopt);
        if (!decision->server)
            return callback(PlacementResponse { std::nullopt, 0, decision->retryAfter, decision->retryBudgetExhausted, decision->shouldWait, decision->refusedShare });
        callback(PlacementResponse { PlacementReservation { coordinator, *decision->server, decision->placementId }, decision->expectedLoss, {}, false, false, decision->refusedShare });
    };
    PlacementDemand numbered = demand;
    numbered.placementId = m_nextPlacementId++;
    const PlacementTicket ticket { *coordinator, numbered.placementId };
    if (coordinator->id == m_directory.self().id) {
        m_coordinator.place(cell, numbered, respond);
        return ticket;
    }
    if (!m_calls) {
        respond(std::nullopt);
        return std::nullopt;
    }
    std::vector<PendingOutcome> outcomes = takeUnsentOutcomes(coordinator->id);
    const std::vector<PlacementOutcome> sent = internal::outcomesOf(outcomes);
    m_calls->place(coordinator->peerEndpoint, cell, numbered, sent, [this, coordinator = *coordinator, placementId = numbered.placementId, outcomes = std::move(outcomes), respond](const HostCalls::PlaceCallResult& result) mutable {
        if (!result.answered) {
            m_avoidUntil[coordinator.id] = m_clock.now() + internal::coordinatorAvoidancePeriod;
            log(Event("placement-coordinator-timeout").with("host", coordinator.id));
            // The coordinator may have placed the request, and recorded the outcomes or not.
            PendingOutcome cancellation;
            cancellation.outcome.placementId = placementId;
            cancellation.discardAt = m_clock.now() + internal::outcomeRetention;
            outcomes.push_back(std::move(cancellation));
            addUnsentOutcomes(coordinator, std::move(outcomes));
        }
        respond(result.reply);
    });
    return ticket;
}

void PlacementClient::cancel(const PlacementTicket& ticket)
{
    PlacementOutcome cancellation;
    cancellation.placementId = ticket.placementId;
    if (ticket.coordinator.id == m_directory.self().id)
        return m_coordinator.recordOutcomes(std::span(&cancellation, 1));
    std::vector<PendingOutcome> outcomes;
    outcomes.push_back({ std::move(cancellation), m_clock.now() + internal::outcomeRetention });
    addUnsentOutcomes(ticket.coordinator, std::move(outcomes));
}

void PlacementClient::reportOutcome(const PlacementReservation& reservation, PlacementOutcome outcome)
{
    outcome.server = reservation.server;
    outcome.placementId = reservation.placementId;
    if (reservation.coordinator.id == m_directory.self().id)
        return m_coordinator.recordOutcomes(std::span(&outcome, 1));
    PendingOutcome pending { std::move(outcome), m_clock.now() + internal::outcomeRetention };
    std::vector<PendingOutcome> outcomes;
    outcomes.push_back(std::move(pending));
    addUnsentOutcomes(reservation.coordinator, std::move(outcomes));
}

void PlacementClient::flush()
{
    m_flushScheduled = false;
    auto unsent = std::exchange(m_unsent, {});
    if (!m_calls)
        return;
    for (auto& [id, pending] : unsent) {
        const LiveHost coordinator { id, {}, pending.endpoint, 0 };
        const std::vector<PlacementOutcome> outcomes = internal::outcomesOf(pending.outcomes);
        m_calls->reportOutcomes(pending.endpoint, outcomes, [this, coordinator, pending = std::move(pending.outcomes)](bool acknowledged) mutable {
            if (!acknowledged)
                m_loop.after(internal::redeliveryInterval, [this, coordinator, pending = std::move(pending)]() mutable { addUnsentOutcomes(coordinator, std::move(pending)); });
        });
    }
}

} // namespace lacewingsail
