#include <lacewingsail/Exchange.h>

#include <lacewingsail/Observe.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // A server that is full has room after a part of a request's time: its slots end one after the other.
    constexpr double roomPart = 0.5;
    constexpr std::chrono::milliseconds shortestRoomAfter { 100 };
    constexpr std::chrono::milliseconds longestRoomAfter { 1000 };
    // A waiting request asks again after this: several slots of a cell end meanwhile.
    constexpr std::chrono::milliseconds waitInterval { 100 };
    // The spell of failures is told in the log once it is more likely than not, and once it is over.
    constexpr double toldChance = 0.5;

    bool isSameRun(const RegisteredServer& left, const RegisteredServer& right)
    {
        return left.born == right.born && left.endpoint == right.endpoint && left.service == right.service;
    }

} // namespace internal

PlacementKeeper::PlacementKeeper(const ServerRegistry& registry, const GatewayBounds& bounds, const Clock& clock, std::uint64_t firstNumber)
    : m_registry(registry)
    , m_bounds(bounds)
    , m_clock(clock)
    , m_nextNumber(firstNumber)
{
}

void PlacementKeeper::update()
{
    std::erase_if(m_servers, [this](const auto& kept) {
        const auto entry = m_registry.entries().find(kept.first);
        return entry == m_registry.entries().end() || !internal::isSameRun(entry->second.server, kept.second.registration);
    });
    for (const auto& [id, entry] : m_registry.entries()) {
        TrackedServer& kept = m_servers[id];
        kept.registration = entry.server;
        kept.warmupEndsAt = entry.warmupEndsAt;
    }
}

std::vector<TrackedServer*> PlacementKeeper::serversOf(const PlacementCell& cell)
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
RetryBudgetParameters PlacementKeeper::retryTerms(const ServiceId& service, std::size_t cellServers) const
{
    const auto all = std::ranges::count_if(m_servers, [&](const auto& kept) { return kept.second.registration.service == service && !kept.second.registration.draining; });
    return cellRetryBudgetParameters(m_bounds, std::min(1.0, static_cast<double>(cellServers) / static_cast<double>(std::max<std::ptrdiff_t>(all, 1))));
}

void PlacementKeeper::earnFurtherAttempts(const RegisteredServer& server)
{
    const auto peers = std::ranges::count_if(m_servers, [&](const auto& kept) {
        return kept.second.registration.service == server.service && kept.second.registration.zone == server.zone && !kept.second.registration.draining;
    });
    const std::uint32_t count = cellCount(static_cast<std::size_t>(peers));
    const PlacementCell cell { server.service, server.zone, cellIndex(server.id, count), count };
    deposit(m_allowances[cell], retryTerms(cell.service, serversOf(cell).size()), m_clock.now());
}

std::chrono::milliseconds PlacementKeeper::roomAfter(std::span<TrackedServer* const> servers, const PlacementDemand& demand) const
{
    const MonotonicTime now = m_clock.now();
    double least = 1;
    for (const TrackedServer* server : servers)
        least = std::min(least, std::max(0.0, (estimatedLoad(*server, now) + 1) / server->registration.slots.value - demand.maxLoadPerSlot));
    const auto objective = std::chrono::duration_cast<std::chrono::milliseconds>(demand.latencyObjective * (internal::roomPart + least) / 2);
    return std::clamp(objective, internal::shortestRoomAfter, internal::longestRoomAfter);
}

std::optional<PlacementReply> PlacementKeeper::place(const PlacementCell& cell, const PlacementDemand& demand)
{
    const std::vector<TrackedServer*> servers = serversOf(cell);
    if (servers.empty())
        return std::nullopt;
    const MonotonicTime now = m_clock.now();
    const RetryBudgetParameters terms = retryTerms(cell.service, servers.size());
    CellRetryBudget& allowance = m_allowances[cell];
    PlacementDemand allowed = demand;
    allowed.canRetry = demand.canRetry && hasReserve(allowance, terms, now);
    const std::uint64_t number = m_nextNumber++;
    const ProcessingTimes& works = m_works[cell.service];
    // The number spreads well enough to break ties.
    const double random = static_cast<double>(stableHash(std::to_string(number)) >> 11) * 0x1.0p-53;
    const auto chosen = chooseServer(servers, allowed, works, now, random);
    if (!chosen)
        return PlacementReply { std::nullopt, 0, 0, roomAfter(servers, demand), false, false };
    if (shouldWaitForSlot(demand, works, chosen->loadPerSlot))
        return PlacementReply { std::nullopt, 0, 0, internal::waitInterval, false, true };
    if (demand.isRetry && !tryWithdraw(allowance, terms, now))
        return PlacementReply { std::nullopt, 0, 0, {}, true, false };
    TrackedServer& server = *servers[chosen->serverIndex];
    lacewingsail::addPlacement(server, allowed, works, number, now);
    return PlacementReply { server.registration.id, number, chosen->expectedLoss, {}, false, false };
}

void PlacementKeeper::settle(std::span<const PlacementOutcome> outcomes)
{
    const MonotonicTime now = m_clock.now();
    for (const PlacementOutcome& outcome : outcomes) {
        const auto found = m_servers.find(outcome.server);
        if (found == m_servers.end())
            continue;
        TrackedServer& server = found->second;
        const bool before = grayFailureProbability(server.failureEstimate, now) >= internal::toldChance;
        const auto placed = lacewingsail::finishPlacement(server, m_works[server.registration.service], outcome, now);
        // An offer that was not taken up is no request.
        if (placed && !placed->isRetry && outcome.status != PlacementStatus::Cancelled)
            earnFurtherAttempts(server.registration);
        const double chance = grayFailureProbability(server.failureEstimate, now);
        if (before != (chance >= internal::toldChance))
            log(Event(before ? "server-trusted-again" : "server-doubted").with("server", outcome.server).with("chance_percent", static_cast<long long>(chance * 100)).with("load", static_cast<long long>(estimatedLoad(server, now))));
    }
}

} // namespace lacewingsail
