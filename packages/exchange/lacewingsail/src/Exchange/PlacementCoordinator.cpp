#include <lacewingsail/Exchange.h>

#include <lacewingsail/Observe.h>

#include <algorithm>
#include <utility>

namespace lacewingsail {

namespace internal {

    // A demand is held at most for this, well below the time-out of the hosts' calls.
    constexpr std::chrono::milliseconds maxHold { 100 };
    // Share of the latency objective after which its host may look for room in other zones.
    constexpr int maxHoldDivisor = 8;
    constexpr std::chrono::milliseconds minHold { 20 };
    // Share of the latency objective for which a request that loses nothing by waiting leaves slots to others; after it there is
    // still time to compete for one.
    constexpr int maxDeferralDivisor = 4;
    // The hosts' sending delay and the way to the coordinator.
    constexpr std::chrono::milliseconds outcomeDelay { 40 };
    // Slots become free without an outcome too: placements expire, servers take requests again after an overload.
    constexpr std::chrono::milliseconds tickInterval { 10 };
    // When a demand that cannot be held, or has been cancelled, is worth another question.
    constexpr std::chrono::milliseconds askAgainAfter { 50 };
    constexpr std::chrono::milliseconds cancelledRetryAfter { 100 };
    // Demands tried for a free slot: the first ones may exclude its server.
    constexpr std::size_t maxTriedForSlot = 4;
    constexpr double fullLoadPerSlot = 1;
    constexpr std::chrono::seconds queueLogInterval { 1 };
    // A gray failure is logged once it is more likely than not, and again once it no longer is.
    constexpr double loggedProbability = 0.5;
    constexpr std::chrono::seconds rejectionLogInterval { 1 };

    bool isSameIncarnation(const RegisteredServer& left, const RegisteredServer& right)
    {
        return left.startedAt == right.startedAt && left.endpoint == right.endpoint && left.service == right.service;
    }

} // namespace internal

PlacementCoordinator::PlacementCoordinator(const ServerRegistry& registry, const GatewayBounds& bounds, EventLoop& loop, const Clock& clock, std::uint64_t firstPlacementId)
    : m_registry(registry)
    , m_bounds(bounds)
    , m_loop(loop)
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
    for (auto& [cell, queue] : m_queues) {
        if (queue.held.empty())
            continue;
        if (serversIn(cell).empty())
            answerAll(queue, std::nullopt);
        else
            serveWaiting(cell, queue);
    }
    std::erase_if(m_queues, [this](const auto& entry) { return entry.second.held.empty() && entry.first.count != currentCellCount(entry.first.service, entry.first.zone); });
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

std::uint32_t PlacementCoordinator::currentCellCount(const ServiceId& service, const ZoneId& zone) const
{
    const auto size = m_zoneSizes.find({ service, zone });
    return cellCount(size == m_zoneSizes.end() ? 0 : size->second);
}

PlacementCell PlacementCoordinator::cellOf(const RegisteredServer& server) const
{
    const std::uint32_t count = currentCellCount(server.service, server.zone);
    return { server.service, server.zone, cellIndex(server.id, count), count };
}

void PlacementCoordinator::depositRetries(const RegisteredServer& server)
{
    const PlacementCell cell = cellOf(server);
    deposit(m_retryBudgets[cell], retryBudgetParameters(cell.service, serversIn(cell).size()), m_clock.now());
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

void PlacementCoordinator::place(const PlacementCell& cell, const PlacementDemand& demand, DecisionCallback callback)
{
    if (serversIn(cell).empty())
        return callback(std::nullopt);
    const MonotonicTime now = m_clock.now();
    const std::uint64_t placementId = demand.placementId != 0 ? demand.placementId : m_nextPlacementId++;
    PlacementQueue& queue = m_queues[cell];
    // The caller has cancelled it meanwhile, or the demand was received before.
    if (wasRecorded(m_endedPlacements, placementId) || queue.held.contains(placementId))
        return callback(PlacementDecision { std::nullopt, placementId, 0, internal::cancelledRetryAfter, false, false });
    const auto work = std::chrono::duration_cast<Duration>(expectedProcessingTime(m_processingTimes[cell.service], demand));
    const WaitingRequest request = makeWaitingRequest(demand, placementId, work, now);
    PlacementDecision decision;
    if (isFirst(queue.order, request))
        decision = tryPlace(cell, demand, placementId);
    else
        decision.shouldWait = canDefer(cell.service, demand, internal::fullLoadPerSlot);
    if (decision.server)
        recordPlaced(queue.order, demand.priority, now);
    if (decision.server || decision.retryBudgetExhausted)
        return callback(decision);
    holdOrRefuse(cell, queue, demand, request, decision.shouldWait, std::move(callback));
}

bool PlacementCoordinator::canDefer(const ServiceId& service, const PlacementDemand& demand, double loadPerSlot)
{
    return demand.age < demand.latencyObjective / internal::maxDeferralDivisor && shouldWaitForSlot(demand, m_processingTimes[service], loadPerSlot);
}

// \returns a decision without a server if none has room; with shouldWait if the request should leave the last slots to others.
PlacementDecision PlacementCoordinator::tryPlace(const PlacementCell& cell, const PlacementDemand& demand, std::uint64_t placementId)
{
    const std::vector<TrackedServer*>& servers = serversIn(cell);
    const MonotonicTime now = m_clock.now();
    const RetryBudgetParameters parameters = retryBudgetParameters(cell.service, servers.size());
    CellRetryBudget& retryBudget = m_retryBudgets[cell];
    PlacementDemand budgetedDemand = demand;
    budgetedDemand.outcomeDelay = internal::outcomeDelay;
    budgetedDemand.canRetry = demand.canRetry && hasReserve(retryBudget, parameters, now);
    ProcessingTimes& processingTimes = m_processingTimes[cell.service];
    forgetUnusedKinds(processingTimes, now);
    // Hashes of successive ids are spread well enough to break ties.
    const double random = static_cast<double>(stableHash(std::to_string(placementId)) >> 11) * 0x1.0p-53;
    if (m_coldServers)
        m_coldServers->update(cell, servers);
    const auto chosen = chooseServer(servers, budgetedDemand, processingTimes, now, random);
    if (!chosen)
        return { std::nullopt, 0, 0, {}, false, false, alikeRefusedShare(cell.service) };
    if (canDefer(cell.service, demand, chosen->loadPerSlot))
        return { std::nullopt, 0, 0, {}, false, true };
    if (demand.isRetry && !tryWithdraw(retryBudget, parameters, demand.priority, now))
        return { std::nullopt, 0, 0, {}, true, false, alikeRefusedShare(cell.service) };
    TrackedServer& server = *servers[chosen->serverIndex];
    lacewingsail::addPlacement(server, budgetedDemand, placementId, now);
    countPlacement(server.recentlyPlaced, now);
    return { server.registration.id, placementId, chosen->expectedLoss, {}, false, false, alikeRefusedShare(cell.service) };
}

void PlacementCoordinator::holdOrRefuse(const PlacementCell& cell, PlacementQueue& queue, const PlacementDemand& demand, const WaitingRequest& request, bool deferred, DecisionCallback callback)
{
    const MonotonicTime now = m_clock.now();
    const CellCapacity capacity = cellCapacity(serversIn(cell), demand, now);
    if (!deferred && !isWorthWaiting(queue.order, request, capacity, now)) {
        recordRefused(queue.order, request.priority, now);
        count("placements_refused_total", request.priority);
        ++queue.refused;
        logRejection(cell, serversIn(cell), demand);
        logQueue(cell, queue);
        return callback(PlacementDecision { std::nullopt, 0, 0, timeToRoom(queue.order, request, capacity), false, false, alikeRefusedShare(cell.service) });
    }
    if (!m_holds)
        return callback(PlacementDecision { std::nullopt, 0, 0, internal::askAgainAfter, false, true });
    const auto shareOfObjective = std::max(internal::minHold, demand.latencyObjective / internal::maxHoldDivisor);
    const auto hold = deferred || demand.latencyObjective.count() == 0 ? internal::maxHold : std::min(internal::maxHold, shareOfObjective);
    HeldPlacement& held = queue.held[request.placementId];
    held = { demand, request, now, deferred ? now + hold : std::min(now + hold, request.startBy), std::move(callback) };
    held.demand.placementId = request.placementId;
    count("placements_held_total", request.priority);
    if (deferred)
        addDeferred(queue.order, request);
    else
        addWaiting(queue.order, request);
    refuseUnreachable(cell, queue);
    scheduleTick();
}

void PlacementCoordinator::answer(PlacementQueue& queue, std::uint64_t placementId, const std::optional<PlacementDecision>& decision)
{
    const auto held = queue.held.extract(placementId);
    if (held.empty())
        return;
    removeWaiting(queue.order, held.mapped().request);
    held.mapped().callback(decision);
}

void PlacementCoordinator::answerAll(PlacementQueue& queue, const std::optional<PlacementDecision>& decision)
{
    while (!queue.held.empty())
        answer(queue, queue.held.begin()->first, decision);
}

// A higher-ranked demand may have taken the room that others were expected to get.
void PlacementCoordinator::refuseUnreachable(const PlacementCell& cell, PlacementQueue& queue)
{
    const MonotonicTime now = m_clock.now();
    const CellCapacity capacity = cellCapacity(serversIn(cell), {}, now);
    for (const WaitingRequest& request : takeUnreachable(queue.order, capacity, now)) {
        recordRefused(queue.order, request.priority, now);
        count("placements_refused_total", request.priority);
        ++queue.refused;
        answer(queue, request.placementId, PlacementDecision { std::nullopt, 0, 0, timeToRoom(queue.order, request, capacity), false, false, alikeRefusedShare(cell.service) });
        logQueue(cell, queue);
    }
}

// \returns whether one was answered.
bool PlacementCoordinator::serveOneOf(const PlacementCell& cell, PlacementQueue& queue, std::span<const WaitingRequest> requests)
{
    const MonotonicTime now = m_clock.now();
    for (const WaitingRequest& request : requests) {
        const HeldPlacement& held = queue.held.at(request.placementId);
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - held.heldSince);
        PlacementDemand demand = held.demand;
        demand.age += waited;
        demand.timeToDeadline -= waited;
        const PlacementDecision decision = tryPlace(cell, demand, request.placementId);
        if (decision.server || decision.retryBudgetExhausted) {
            if (decision.server) {
                recordPlaced(queue.order, request.priority, now);
                ++queue.placed;
                count("placements_after_wait_total", request.priority);
                if (m_metrics)
                    m_metrics->latency("placement_wait_seconds", "priority", std::to_string(request.priority.value)).fill(std::chrono::duration_cast<std::chrono::microseconds>(now - held.heldSince));
            }
            answer(queue, request.placementId, decision);
            return true;
        }
        // Others find no room either.
        if (demand.excludedServers.empty())
            return false;
    }
    return false;
}

void PlacementCoordinator::serveWaiting(const PlacementCell& cell, PlacementQueue& queue)
{
    while (!queue.held.empty()) {
        const std::vector<WaitingRequest> next = nextWaiting(queue.order, internal::maxTriedForSlot);
        const std::vector<WaitingRequest>& candidates = next.empty() ? queue.order.deferred : next;
        if (!serveOneOf(cell, queue, std::span(candidates).first(std::min(candidates.size(), internal::maxTriedForSlot))))
            return;
    }
}

void PlacementCoordinator::returnExpired(PlacementQueue& queue)
{
    const MonotonicTime now = m_clock.now();
    std::vector<std::uint64_t> expired;
    for (const auto& [placementId, held] : queue.held) {
        if (now >= held.heldUntil)
            expired.push_back(placementId);
    }
    for (const std::uint64_t placementId : expired)
        answer(queue, placementId, PlacementDecision { std::nullopt, 0, 0, {}, false, true });
}

void PlacementCoordinator::scheduleTick()
{
    if (std::exchange(m_tickScheduled, true))
        return;
    m_loop.after(internal::tickInterval, [this] { tick(); });
}

void PlacementCoordinator::tick()
{
    m_tickScheduled = false;
    bool waiting = false;
    for (auto& [cell, queue] : m_queues) {
        if (queue.held.empty())
            continue;
        serveWaiting(cell, queue);
        refuseUnreachable(cell, queue);
        returnExpired(queue);
        waiting = waiting || !queue.held.empty();
    }
    if (waiting)
        scheduleTick();
}

void PlacementCoordinator::stopHolding()
{
    m_holds = false;
    for (auto& [cell, queue] : m_queues) {
        answerAll(queue, PlacementDecision { std::nullopt, 0, 0, internal::askAgainAfter, false, true });
    }
}

std::size_t PlacementCoordinator::waitingDemands() const
{
    std::size_t count = 0;
    for (const auto& [cell, queue] : m_queues)
        count += queue.held.size();
    return count;
}

void PlacementCoordinator::count(const char* result, Priority priority)
{
    if (m_metrics)
        m_metrics->counter(result, "priority", std::to_string(priority.value)).fetch_add(1, std::memory_order_relaxed);
}

// At most once a second.
void PlacementCoordinator::logQueue(const PlacementCell& cell, PlacementQueue& queue)
{
    const MonotonicTime now = m_clock.now();
    if (queue.loggedAt != MonotonicTime {} && now - queue.loggedAt < internal::queueLogInterval)
        return;
    queue.loggedAt = now;
    Event event("placement-queue");
    event.with("service", cell.service).with("zone", cell.zone).with("cell", static_cast<long long>(cell.index));
    event.with("waiting", static_cast<long long>(waitingCount(queue.order))).with("deferred", static_cast<long long>(queue.order.deferred.size()));
    event.with("placed", std::exchange(queue.placed, 0)).with("refused", std::exchange(queue.refused, 0));
    for (const AdmissionRank& rank : queue.order.ranks) {
        const std::string name = "rank_" + std::to_string(rank.priority.value);
        event.with(name + "_waiting", static_cast<long long>(rank.waiting.size())).with(name + "_placed", static_cast<long long>(rank.placed)).with(name + "_refused", static_cast<long long>(rank.refused));
    }
    log(event);
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
    for (auto& [cell, queue] : m_queues)
        answer(queue, placementId, PlacementDecision { std::nullopt, placementId, 0, internal::cancelledRetryAfter, false, false });
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
        if (found == m_servers.end())
            continue;
        recordOutcome(found->second, outcome);
        if (!m_tickScheduled)
            continue;
        const auto queue = m_queues.find(cellOf(found->second.registration));
        if (queue != m_queues.end())
            serveWaiting(queue->first, queue->second);
    }
}

} // namespace lacewingsail
