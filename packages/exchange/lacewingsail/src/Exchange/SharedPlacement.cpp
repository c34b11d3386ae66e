#include <lacewingsail/Exchange.h>

#include <lacewingsail/Observe.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // Hosts that are asked for a cell before requests are placed by this host's own sight.
    constexpr std::size_t keepersRanked = 2;
    // Long enough for a host that restarts; meanwhile the second in order places.
    constexpr std::chrono::milliseconds keeperAvoidance { 1000 };
    // A tenth of the users' work times: the keeper's sight is that old at most.
    constexpr std::chrono::milliseconds outcomeDelay { 30 };
    constexpr std::size_t mostUnsent = 256;

} // namespace internal

SharedPlacement::SharedPlacement(FleetDirectory& directory, PlacementKeeper& keeper, EventLoop& loop, const Clock& clock)
    : m_directory(directory)
    , m_keeper(keeper)
    , m_loop(loop)
    , m_clock(clock)
{
}

std::optional<LiveHost> SharedPlacement::keeperOf(const PlacementCell& cell) const
{
    const MonotonicTime now = m_clock.now();
    auto live = m_directory.live(now);
    std::erase_if(live, [&](const LiveHost& host) { return host.zone != cell.zone; });
    const std::string subject = cell.service.value() + '/' + std::to_string(cell.index);
    for (const LiveHost* host : rankHosts(live, subject, internal::keepersRanked)) {
        const auto avoided = m_avoided.find(host->id);
        if (avoided == m_avoided.end() || now >= avoided->second)
            return *host;
    }
    return std::nullopt;
}

std::vector<PlacementOutcome> SharedPlacement::takeUnsent(const HostId& keeper)
{
    const auto found = m_unsent.find(keeper);
    if (found == m_unsent.end())
        return {};
    std::vector<PlacementOutcome> outcomes = std::move(found->second.outcomes);
    m_unsent.erase(found);
    return outcomes;
}

void SharedPlacement::ask(const PlacementCell& cell, const PlacementDemand& demand, Answer answer)
{
    const auto keeper = keeperOf(cell);
    if (!keeper)
        return answer(std::nullopt);
    const auto take = [answer = std::move(answer), keeper = *keeper](const std::optional<PlacementReply>& reply) {
        if (!reply)
            return answer(std::nullopt);
        if (!reply->server)
            return answer(SharedReply { std::nullopt, 0, reply->roomAfter, reply->allowanceUsed, reply->waits });
        answer(SharedReply { PlacementTicket { keeper, *reply->server, reply->number }, reply->loss, {}, false, false });
    };
    if (keeper->id == m_directory.self().id)
        return take(m_keeper.place(cell, demand));
    if (!m_calls)
        return take(std::nullopt);
    m_calls->place(keeper->peerEndpoint, cell, demand, takeUnsent(keeper->id), [this, keeper = keeper->id, take](const GatewayCalls::PlacementResult& result) {
        if (!result.answered) {
            m_avoided[keeper] = m_clock.now() + internal::keeperAvoidance;
            log(Event("placement-keeper-silent").with("host", keeper));
        }
        take(result.reply);
    });
}

void SharedPlacement::report(const PlacementTicket& ticket, PlacementOutcome outcome)
{
    outcome.server = ticket.server;
    outcome.placementId = ticket.number;
    if (ticket.keeper.id == m_directory.self().id)
        return m_keeper.settle(std::span(&outcome, 1));
    Unsent& unsent = m_unsent[ticket.keeper.id];
    unsent.endpoint = ticket.keeper.peerEndpoint;
    // What is not told lapses with the request's deadline.
    if (unsent.outcomes.size() < internal::mostUnsent)
        unsent.outcomes.push_back(std::move(outcome));
    if (std::exchange(m_flushScheduled, true))
        return;
    m_loop.after(internal::outcomeDelay, [this] { flush(); });
}

void SharedPlacement::flush()
{
    m_flushScheduled = false;
    const auto unsent = std::exchange(m_unsent, {});
    if (!m_calls)
        return;
    for (const auto& [keeper, outcomes] : unsent)
        m_calls->reportPlacements(outcomes.endpoint, outcomes.outcomes);
}

} // namespace lacewingsail
