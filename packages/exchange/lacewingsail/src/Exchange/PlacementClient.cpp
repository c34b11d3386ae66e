#include <lacewingsail/Exchange.h>

#include <lacewingsail/Observe.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // Hosts that are asked for a cell before requests are placed by this host's own sight.
    constexpr std::size_t maxCoordinatorsAsked = 2;
    // Long enough for a host that restarts; meanwhile the second in order places.
    constexpr std::chrono::milliseconds coordinatorAvoidancePeriod { 1000 };
    // A tenth of the users' work times: the coordinator's sight is that old at most.
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
    for (const LiveHost* host : rankHosts(live, subject, internal::maxCoordinatorsAsked)) {
        const auto avoided = m_avoided.find(host->id);
        if (avoided == m_avoided.end() || now >= avoided->second)
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

void PlacementClient::place(const PlacementCell& cell, const PlacementDemand& demand, Callback answer)
{
    const auto coordinator = coordinatorFor(cell);
    if (!coordinator)
        return answer(std::nullopt);
    const auto take = [answer = std::move(answer), coordinator = *coordinator](const std::optional<PlacementDecision>& reply) {
        if (!reply)
            return answer(std::nullopt);
        if (!reply->server)
            return answer(PlacementResponse { std::nullopt, 0, reply->retryAfter, reply->retryBudgetExhausted, reply->shouldWait });
        answer(PlacementResponse { PlacementReservation { coordinator, *reply->server, reply->placementId }, reply->expectedLoss, {}, false, false });
    };
    if (coordinator->id == m_directory.self().id)
        return take(m_coordinator.place(cell, demand));
    if (!m_calls)
        return take(std::nullopt);
    m_calls->place(coordinator->peerEndpoint, cell, demand, takeUnsentOutcomes(coordinator->id), [this, coordinator = coordinator->id, take](const GatewayCalls::PlaceCallResult& result) {
        if (!result.answered) {
            m_avoided[coordinator] = m_clock.now() + internal::coordinatorAvoidancePeriod;
            log(Event("placement-coordinator-timeout").with("host", coordinator));
        }
        take(result.reply);
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
    // What is not told lapses with the request's deadline.
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
