#include <lacewingsail/Exchange.h>

#include <lacewingsail/Observe.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // A server that is full has room after a part of a request's time: its slots end one after the other.
    constexpr double retryObjectiveShare = 0.5;
    constexpr std::chrono::milliseconds minRetryAfter { 100 };
    constexpr std::chrono::milliseconds maxRetryAfter { 1000 };
    // A waiting request asks again after this: several slots of a cell end meanwhile.
    constexpr std::chrono::milliseconds waitInterval { 100 };
    // The spell of failures is told in the log once it is more likely than not, and once it is over.
    constexpr double loggedProbability = 0.5;

    bool isSameIncarnation(const RegisteredServer& left, const RegisteredServer& right)
    {
        return left.startedAt == right.startedAt && left.endpoint == right.endpoint && left.service == right.service;
    }

} // namespace internal

PlacementCoordinator::PlacementCoordinator(const ServerRegistry& registry, const GatewayBounds& bounds, const Clock& clock, std::uint64_t firstPlacementId)
    : m_registry(registry)
    , m_bounds(bounds)
    , m_clock(clock)
    , m_nextPlacementId(firstPlacementId)
{
}

void PlacementCoordinator::update()
{
    std::erase_if(m_servers, [this](const auto& kept) {
        const auto entry = m_registry.entries().find(kept.first);
        return entry == m_registry.entries().end() || !internal::isSameIncarnation(entry->second.registration, kept.second.registration);
    });
    for (const auto& [id, entry] : m_registry.entries()) {
        TrackedServer& kept = m_servers[id];
        kept.registration = entry.registration;
        kept.warmupEndsAt = entry.warmupEndsAt;
    }
}

std::vector<TrackedServer*> PlacementCoordinator::serversIn(const PlacementCell& cell)
{
    std::vector<TrackedServer*> servers;
    for (auto& [id, kept] : m_servers) {
        const RegisteredServer& server = kept.registration;
        if (server.service == cell.service && server.zone == cell.zone && !server.draining && cellIndex(id, cell.count) == cell.index)
            servers.push_back(&kept);
    }
    return servers;
}

// The operators bound the further attempts of a service; each cell has the part of its servers.
RetryBudgetParameters PlacementCoordinator::retryBudgetParameters(const ServiceId& service, std::size_t cellServers) const
{
    const auto all = std::ranges::count_if(m_servers, [&](const auto& kept) { return kept.second.registration.service == service && !kept.second.registration.draining; });
    return cellRetryBudgetParameters(m_bounds, std::min(1.0, static_cast<double>(cellServers) / static_cast<double>(std::max<std::ptrdiff_t>(all, 1))));
}

void PlacementCoordinator::depositRetries(const RegisteredServer& server)
{
    const auto peers = std::ranges::count_if(m_servers, [&](const auto& kept) {
        return kept.second.registration.service == server.service && kept.second.registration.zone == server.zone && !kept.second.registration.draining;
    });
    const std::uint32_t count = cellCount(static_cast<std::size_t>(peers));
    const PlacementCell cell { server.service, server.zone, cellIndex(server.id, count), count };
    deposit(m_retryBudgets[cell], retryBudgetParameters(cell.service, serversIn(cell).size()), m_clock.now());
}

std::chrono::milliseconds PlacementCoordinator::retryAfter(std::span<TrackedServer* const> servers, const PlacementDemand& demand) const
{
    const MonotonicTime now = m_clock.now();
    double least = 1;
    for (const TrackedServer* server : servers)
        least = std::min(least, std::max(0.0, (estimatedLoad(*server, now) + 1) / server->registration.slots.value - demand.maxLoadPerSlot));
    const auto objective = std::chrono::duration_cast<std::chrono::milliseconds>(demand.latencyObjective * (internal::retryObjectiveShare + least) / 2);
    return std::clamp(objective, internal::minRetryAfter, internal::maxRetryAfter);
}

std::optional<PlacementDecision> PlacementCoordinator::place(const PlacementCell& cell, const PlacementDemand& demand)
{
    const std::vector<TrackedServer*> servers = serversIn(cell);
    if (servers.empty())
        return std::nullopt;
    const MonotonicTime now = m_clock.now();
    const RetryBudgetParameters terms = retryBudgetParameters(cell.service, servers.size());
    CellRetryBudget& allowance = m_retryBudgets[cell];
    PlacementDemand allowed = demand;
    allowed.canRetry = demand.canRetry && hasReserve(allowance, terms, now);
    const std::uint64_t placementId = m_nextPlacementId++;
    const ProcessingTimes& works = m_processingTimes[cell.service];
    // The number spreads well enough to break ties.
    const double random = static_cast<double>(stableHash(std::to_string(placementId)) >> 11) * 0x1.0p-53;
    const auto chosen = chooseServer(servers, allowed, works, now, random);
    if (!chosen)
        return PlacementDecision { std::nullopt, 0, 0, retryAfter(servers, demand), false, false };
    if (shouldWaitForSlot(demand, works, chosen->loadPerSlot))
        return PlacementDecision { std::nullopt, 0, 0, internal::waitInterval, false, true };
    if (demand.isRetry && !tryWithdraw(allowance, terms, now))
        return PlacementDecision { std::nullopt, 0, 0, {}, true, false };
    TrackedServer& server = *servers[chosen->serverIndex];
    lacewingsail::addPlacement(server, allowed, works, placementId, now);
    return PlacementDecision { server.registration.id, placementId, chosen->expectedLoss, {}, false, false };
}

void PlacementCoordinator::recordOutcomes(std::span<const PlacementOutcome> outcomes)
{
    const MonotonicTime now = m_clock.now();
    for (const PlacementOutcome& outcome : outcomes) {
        const auto found = m_servers.find(outcome.server);
        if (found == m_servers.end())
            continue;
        TrackedServer& server = found->second;
        const bool before = grayFailureProbability(server.failureEstimate, now) >= internal::loggedProbability;
        const auto placed = lacewingsail::finishPlacement(server, m_processingTimes[server.registration.service], outcome, now);
        // An offer that was not taken up is no request.
        if (placed && !placed->isRetry && outcome.status != PlacementStatus::Cancelled)
            depositRetries(server.registration);
        const double chance = grayFailureProbability(server.failureEstimate, now);
        if (before != (chance >= internal::loggedProbability))
            log(Event(before ? "gray-failure-cleared" : "gray-failure-suspected").with("server", outcome.server).with("probability_percent", static_cast<long long>(chance * 100)).with("load", static_cast<long long>(estimatedLoad(server, now))));
    }
}

} // namespace lacewingsail
