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

} // namespace internal

PlacementClient::PlacementClient(FleetDirectory& directory, PlacementCoordinator& coordinator, EventLoop& loop, const Clock& clock)
    : m_directory(directory)
    , m_coordinator(coordinator)
    , m_loop(loop)
    , m_clock(clock)
{
}

std::optional<LiveHost> PlacementClient::coordinatorFor(const PlacementCell& cell) const
{
    const MonotonicTime now = m_clock.now();
    auto live = m_directory.liveHosts(now);
    std::erase_if(live, [&](const LiveHost& host) { return host.zone != cell.zone; });
    const std::string subject = cell.service.value() + '/' + std::to_string(cell.index);
    for (const LiveHost* host : rankHosts(live, subject, internal::maxCoordinators)) {
        const auto avoided = m_avoidUntil.find(host->id);
        if (avoided == m_avoidUntil.end() || now >= avoided->second)
            return *host;
    }
    return std::nullopt;
}

std::vector<PlacementOutcome> PlacementClient::takeUnsentOutcomes(const HostId& coordinator)
{
    const auto found = m_unsent.find(coordinator);
    if (found == m_unsent.end())
        return {};
    std::vector<PlacementOutcome> outcomes = std::move(found->second.outcomes);
    m_unsent.erase(found);
    return outcomes;
}

void PlacementClient::place(const PlacementCell& cell, const PlacementDemand& demand, Callback callback)
{
    const auto coordinator = coordinatorFor(cell);
    if (!coordinator)
        return callback(std::nullopt);
    const auto respond = [callback = std::move(callback), coordinator = *coordinator](const std::optional<PlacementDecision>& decision) {
        if (!decision)
            return callback(std::nullopt);
        if (!decision->server)
            return callback(PlacementResponse { std::nullopt, 0, decision->retryAfter, decision->retryBudgetExhausted, decision->shouldWait });
        callback(PlacementResponse { PlacementReservation { coordinator, *decision->server, decision->placementId }, decision->expectedLoss, {}, false, false });
    };
    if (coordinator->id == m_directory.self().id)
        return respond(m_coordinator.place(cell, demand));
    if (!m_calls)
        return respond(std::nullopt);
    m_calls->place(coordinator->peerEndpoint, cell, demand, takeUnsentOutcomes(coordinator->id), [this, coordinator = coordinator->id, respond](const HostCalls::PlaceCallResult& result) {
        if (!result.answered) {
            m_avoidUntil[coordinator] = m_clock.now() + internal::coordinatorAvoidancePeriod;
            log(Event("placement-coordinator-timeout").with("host", coordinator));
        }
        respond(result.reply);
    });
}

void PlacementClient::reportOutcome(const PlacementReservation& reservation, PlacementOutcome outcome)
{
    outcome.server = reservation.server;
    outcome.placementId = reservation.placementId;
    if (reservation.coordinator.id == m_directory.self().id)
        return m_coordinator.recordOutcomes(std::span(&outcome, 1));
    UnsentOutcomes& unsent = m_unsent[reservation.coordinator.id];
    unsent.endpoint = reservation.coordinator.peerEndpoint;
    // A placement without a reported outcome expires at the coordinator at the request's deadline.
    if (unsent.outcomes.size() < internal::maxUnsentOutcomes)
        unsent.outcomes.push_back(std::move(outcome));
    if (std::exchange(m_flushScheduled, true))
        return;
    m_loop.after(internal::outcomeDelay, [this] { flush(); });
}

void PlacementClient::flush()
{
    m_flushScheduled = false;
    const auto unsent = std::exchange(m_unsent, {});
    if (!m_calls)
        return;
    for (const auto& [coordinator, outcomes] : unsent)
        m_calls->reportOutcomes(outcomes.endpoint, outcomes.outcomes);
}

} // namespace lacewingsail
