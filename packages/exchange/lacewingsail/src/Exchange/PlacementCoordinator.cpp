#include <lacewingsail/Exchange.h>

#include <lacewingsail/Observe.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // A full server has a free slot after a part of a request's duration: its requests end one after the other.
    constexpr double retryObjectiveShare = 0.5;
    constexpr std::chrono::milliseconds minRetryAfter { 100 };
    constexpr std::chrono::milliseconds maxRetryAfter { 1000 };
    // Time after which a waiting request asks again; several slots of a cell become free meanwhile.
    constexpr std::chrono::milliseconds waitInterval { 100 };
    // A gray failure is logged once it is more likely than not, and again once it no longer is.
    constexpr double loggedProbability = 0.5;
    constexpr std::chrono::seconds rejectionLogInterval { 1 };

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
    std::erase_if(m_servers, [this](const auto& tracked) {
        const auto entry = m_registry.entries().find(tracked.first);
        return entry == m_registry.entries().end() || !internal::isSameIncarnation(entry->second.registration, tracked.second.registration);
    });
    m_cells.clear();
    m_serviceSizes.clear();
    m_zoneSizes.clear();
    for (const auto& [id, entry] : m_registry.entries()) {
        TrackedServer& tracked = m_servers[id];
        tracked.registration = entry.registration;
        tracked.warmupEndsAt = entry.warmupEndsAt;
        if (!m_registry.acceptsRequests(entry.registration))
            continue;
        ++m_serviceSizes[entry.registration.service];
        ++m_zoneSizes[{ entry.registration.service, entry.registration.zone }];
    }
}

const std::vector<TrackedServer*>& PlacementCoordinator::serversIn(const PlacementCell& cell)
{
    const auto [position, added] = m_cells.try_emplace(cell);
    if (added) {
        for (auto& [id, tracked] : m_servers) {
            const RegisteredServer& server = tracked.registration;
            if (server.service == cell.service && server.zone == cell.zone && m_registry.acceptsRequests(server) && cellIndex(id, cell.count) == cell.index)
                position->second.push_back(&tracked);
        }
    }
    return position->second;
}

// The operators bound the retries of a service; each cell gets the share of its servers.
RetryBudgetParameters PlacementCoordinator::retryBudgetParameters(const ServiceId& service, std::size_t cellServers) const
{
    const auto size = m_serviceSizes.find(service);
    const double serviceServers = size == m_serviceSizes.end() ? 1 : static_cast<double>(size->second);
    return cellRetryBudgetParameters(m_bounds, std::min(1.0, static_cast<double>(cellServers) / serviceServers));
}

void PlacementCoordinator::depositRetries(const RegisteredServer& server)
{
    const auto size = m_zoneSizes.find({ server.service, server.zone });
    const std::uint32_t count = cellCount(size == m_zoneSizes.end() ? 0 : size->second);
    const PlacementCell cell { server.service, server.zone, cellIndex(server.id, count), count };
    deposit(m_retryBudgets[cell], retryBudgetParameters(cell.service, serversIn(cell).size()), m_clock.now());
}

std::chrono::milliseconds PlacementCoordinator::retryAfter(std::span<TrackedServer* const> servers, const PlacementDemand& demand) const
{
    const MonotonicTime now = m_clock.now();
    double minExcess = 1;
    for (const TrackedServer* server : servers)
        minExcess = std::min(minExcess, std::max(0.0, (estimatedLoad(*server, now) + 1) / server->registration.slots.value - demand.maxLoadPerSlot));
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(demand.latencyObjective * (internal::retryObjectiveShare + minExcess) / 2);
    return std::clamp(delay, internal::minRetryAfter, internal::maxRetryAfter);
}

// Tells what is believed of the cell from what its servers report, at most once a second.
void PlacementCoordinator::logRejection(const PlacementCell& cell, std::span<TrackedServer* const> servers, const PlacementDemand& demand)
{
    const MonotonicTime now = m_clock.now();
    MonotonicTime& loggedAt = m_rejectionLoggedAt[cell];
    if (loggedAt != MonotonicTime {} && now - loggedAt < internal::rejectionLogInterval)
        return;
    loggedAt = now;
    const CellBelief belief = cellBelief(servers, demand, m_processingTimes[cell.service], now);
    log(Event("placement-no-capacity")
            .with("service", cell.service)
            .with("zone", cell.zone)
            .with("cell", static_cast<long long>(cell.index))
            .with("servers", static_cast<long long>(servers.size()))
            .with("slots", belief.slots)
            .with("in_flight", static_cast<long long>(belief.inFlight))
            .with("estimated_load", static_cast<long long>(belief.estimatedLoad))
            .with("reported_load", static_cast<long long>(belief.reportedLoad))
            .with("suspected", static_cast<long long>(belief.suspected))
            .with("overloaded", static_cast<long long>(belief.overloaded))
            .with("excluded", static_cast<long long>(demand.excludedServers.size()))
            .with("processing_ms", static_cast<long long>(belief.processingTime.count()))
            .with("left_ms", static_cast<long long>(demand.timeToDeadline.count())));
}

std::optional<PlacementDecision> PlacementCoordinator::place(const PlacementCell& cell, const PlacementDemand& demand)
{
    const std::vector<TrackedServer*>& servers = serversIn(cell);
    if (servers.empty())
        return std::nullopt;
    const MonotonicTime now = m_clock.now();
    const std::uint64_t placementId = demand.placementId != 0 ? demand.placementId : m_nextPlacementId++;
    // The caller has cancelled it meanwhile.
    if (wasRecorded(m_endedPlacements, placementId))
        return PlacementDecision { std::nullopt, placementId, 0, internal::minRetryAfter, false, false, 0 };
    const RetryBudgetParameters parameters = retryBudgetParameters(cell.service, servers.size());
    CellRetryBudget& retryBudget = m_retryBudgets[cell];
    PlacementDemand budgetedDemand = demand;
    budgetedDemand.canRetry = demand.canRetry && hasReserve(retryBudget, parameters, now);
    ProcessingTimes& processingTimes = m_processingTimes[cell.service];
    forgetUnusedKinds(processingTimes, now);
    // Hashes of successive ids are spread well enough to break ties.
    const double random = static_cast<double>(stableHash(std::to_string(placementId)) >> 11) * 0x1.0p-53;
    if (m_coldServers)
        m_coldServers->update(cell, servers);
    const auto chosen = chooseServer(servers, budgetedDemand, processingTimes, now, random);
    if (!chosen) {
        logRejection(cell, servers, demand);
        return PlacementDecision { std::nullopt, 0, 0, retryAfter(servers, demand), false, false, alikeRefusedShare(cell.service) };
    }
    if (shouldWaitForSlot(demand, processingTimes, chosen->loadPerSlot))
        return PlacementDecision { std::nullopt, 0, 0, internal::waitInterval, false, true, 0 };
    if (demand.isRetry && !tryWithdraw(retryBudget, parameters, demand.priority, now))
        return PlacementDecision { std::nullopt, 0, 0, {}, true, false, alikeRefusedShare(cell.service) };
    TrackedServer& server = *servers[chosen->serverIndex];
    lacewingsail::addPlacement(server, budgetedDemand, placementId, now);
    countPlacement(server.recentlyPlaced, now);
    return PlacementDecision { server.registration.id, placementId, chosen->expectedLoss, {}, false, false, alikeRefusedShare(cell.service) };
}

double PlacementCoordinator::alikeRefusedShare(const ServiceId& service) const
{
    const auto found = m_refusals.find(service);
    return found != m_refusals.end() && refusesAlike(found->second, m_clock.now()) ? refusedShare(found->second, m_clock.now()) : 0;
}

void PlacementCoordinator::recordRefusals(TrackedServer& server, const PlacementOutcome& outcome)
{
    const MonotonicTime now = m_clock.now();
    const bool refused = outcome.status == PlacementStatus::Refused;
    const bool reached = refused || outcome.status == PlacementStatus::Succeeded || outcome.status == PlacementStatus::Failed;
    if (!reached || outcome.serverLeaving || (refused && !hasFreeSlot(server, now)))
        return;
    ServiceRefusals& refusals = m_refusals[server.registration.service];
    const bool before = refusals.alike;
    recordRefusal(refusals, server.refusals, refused, now);
    if (refusals.alike == before)
        return;
    log(Event(before ? "service-refusals-ended" : "service-refuses-alike").with("service", server.registration.service).with("refused_percent", static_cast<long long>(refusedShare(refusals, now) * 100)));
    for (auto& [id, tracked] : m_servers) {
        if (refusals.alike && tracked.registration.service == server.registration.service)
            forgetRefusals(tracked.failureEstimate, now);
    }
}

void PlacementCoordinator::cancelPlacement(std::uint64_t placementId)
{
    for (auto& [id, tracked] : m_servers)
        std::erase_if(tracked.inFlightPlacements, [placementId](const InFlightPlacement& placement) { return placement.id == placementId; });
}

void PlacementCoordinator::recordOutcome(TrackedServer& server, const PlacementOutcome& outcome)
{
    const MonotonicTime now = m_clock.now();
    const bool wasSuspected = grayFailureProbability(server.failureEstimate, now) >= internal::loggedProbability;
    const double commonRefusedShare = refusedShareOfOthers(m_refusals[server.registration.service], server.refusals, now);
    const auto placement = lacewingsail::finishPlacement(server, m_processingTimes[server.registration.service], outcome, now, commonRefusedShare);
    recordRefusals(server, outcome);
    // A cancelled placement does not count as a request and adds nothing to the retry budget.
    if (placement && !placement->isRetry && outcome.status != PlacementStatus::Cancelled)
        depositRetries(server.registration);
    const double probability = grayFailureProbability(server.failureEstimate, now);
    if (wasSuspected != (probability >= internal::loggedProbability))
        log(Event(wasSuspected ? "gray-failure-cleared" : "gray-failure-suspected").with("server", outcome.server).with("probability_percent", static_cast<long long>(probability * 100)).with("load", static_cast<long long>(estimatedLoad(server, now))));
}

void PlacementCoordinator::recordOutcomes(std::span<const PlacementOutcome> outcomes)
{
    for (const PlacementOutcome& outcome : outcomes) {
        if (!recordOnce(m_endedPlacements, outcome.placementId, m_clock.now()))
            continue;
        if (outcome.server.value().empty()) {
            cancelPlacement(outcome.placementId);
            continue;
        }
        const auto found = m_servers.find(outcome.server);
        if (found != m_servers.end())
            recordOutcome(found->second, outcome);
    }
}

} // namespace lacewingsail
