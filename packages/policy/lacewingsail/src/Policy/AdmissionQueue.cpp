#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace lacewingsail {

namespace internal {

    using Seconds = std::chrono::duration<double>;

    // A refusal costs its caller nothing up to an eighth of the latency objective, and all beyond three quarters. As requests are
    // held only if they are expected to be reached, most waits end with a placement.
    constexpr double maxWaitShare = 0.5;
    // Part of the processing time by which a busy server may exceed the usual one.
    constexpr double workMargin = 1.2;
    // Requests are told that they are not reached once they would be late by this factor: estimates vary from moment to moment.
    constexpr double reachTolerance = 1.25;
    // Share of the placements that a starved rank gets at most.
    constexpr double starvedShare = 0.125;
    // A rank is starved if its requests are placed less than this many times as often as those of a higher rank.
    constexpr double starvedRatio = 0.5;
    // Fewer requests say nothing about a rank.
    constexpr double minRankCount = 4;
    constexpr Seconds rankHalfLife { 5.0 };
    constexpr std::chrono::milliseconds minTimeToRoom { 50 };
    constexpr std::chrono::milliseconds maxTimeToRoom { 1000 };
    constexpr double suspectedProbability = 0.6;

    bool goesBefore(const WaitingRequest& left, const WaitingRequest& right)
    {
        return std::tie(left.priority, left.order, left.placementId) < std::tie(right.priority, right.order, right.placementId);
    }

    AdmissionRank& rankOf(AdmissionQueue& queue, Priority priority)
    {
        const auto position = std::ranges::lower_bound(queue.ranks, priority, {}, &AdmissionRank::priority);
        if (position != queue.ranks.end() && position->priority == priority)
            return *position;
        return *queue.ranks.insert(position, AdmissionRank { priority, {}, 0, 0, {} });
    }

    double decayedCount(double count, const AdmissionRank& rank, MonotonicTime now) { return count * std::exp2(-Seconds(now - rank.countedAt) / rankHalfLife); }

    void decay(AdmissionRank& rank, MonotonicTime now)
    {
        rank.placed = decayedCount(rank.placed, rank, now);
        rank.refused = decayedCount(rank.refused, rank, now);
        rank.countedAt = now;
    }

    double placedShare(const AdmissionRank& rank) { return rank.placed / std::max(rank.placed + rank.refused, 1.0); }

    bool isStarved(const AdmissionQueue& queue, const AdmissionRank& rank)
    {
        if (rank.placed + rank.refused < minRankCount)
            return false;
        return std::ranges::any_of(queue.ranks, [&](const AdmissionRank& higher) {
            return higher.priority < rank.priority && higher.placed + higher.refused >= minRankCount && placedShare(rank) < starvedRatio * placedShare(higher);
        });
    }

    Duration share(Duration work, double slots)
    {
        if (slots <= 0)
            return std::chrono::hours(1);
        return std::chrono::duration_cast<Duration>(work * workMargin / slots);
    }

    void insertInOrder(std::vector<WaitingRequest>& requests, const WaitingRequest& request) { requests.insert(std::ranges::upper_bound(requests, request, goesBefore), request); }

    bool removeFrom(std::vector<WaitingRequest>& requests, const WaitingRequest& request)
    {
        const auto position = std::ranges::lower_bound(requests, request, goesBefore);
        if (position == requests.end() || position->placementId != request.placementId)
            return false;
        requests.erase(position);
        return true;
    }

    // Time until the last part of \p ahead and \p work get a slot, if nobody overtakes; a starved rank has a share of its own.
    Duration waitBehind(Duration ahead, Duration aheadInRank, Duration work, bool starved, CellCapacity capacity)
    {
        const Duration inOrder = share(ahead + work, capacity.slots);
        return starved ? std::min(inOrder, share(aheadInRank + work, capacity.slots * starvedShare)) : inOrder;
    }

} // namespace internal

CellCapacity cellCapacity(std::span<TrackedServer* const> servers, const PlacementDemand& demand, MonotonicTime now)
{
    CellCapacity capacity;
    double suspectedSlots = 0;
    for (const TrackedServer* server : servers) {
        if (server->leaving || server->coldRateBinds || std::ranges::find(demand.excludedServers, server->registration.id) != demand.excludedServers.end())
            continue;
        const bool suspected = grayFailureProbability(server->failureEstimate, now) >= internal::suspectedProbability;
        (suspected ? suspectedSlots : capacity.slots) += server->registration.slots.value / std::max(server->latencyRatio, 1.0);
    }
    // Servers that seem to fail all alike still get requests.
    capacity.slots += suspectedSlots > capacity.slots ? suspectedSlots : 0;
    return capacity;
}

WaitingRequest makeWaitingRequest(const PlacementDemand& demand, std::uint64_t placementId, Duration work, MonotonicTime now)
{
    WaitingRequest request { placementId, demand.priority, {}, now - demand.age, {}, work };
    const MonotonicTime deadline = now + demand.timeToDeadline;
    const MonotonicTime objective = demand.latencyObjective.count() > 0 ? std::min(request.arrivedAt + demand.latencyObjective, deadline) : deadline;
    request.order = objective + work;
    const auto latestStart = std::chrono::duration_cast<Duration>(work * internal::workMargin);
    // A refused retry fails its request: it may wait as long as it can be answered at all.
    if (demand.isRetry)
        request.startBy = deadline - latestStart;
    else
        request.startBy = std::min(objective - latestStart, request.arrivedAt + std::chrono::duration_cast<Duration>((objective - request.arrivedAt) * internal::maxWaitShare));
    return request;
}

std::size_t waitingCount(const AdmissionQueue& queue)
{
    std::size_t count = queue.deferred.size();
    for (const AdmissionRank& rank : queue.ranks)
        count += rank.waiting.size();
    return count;
}

bool isFirst(const AdmissionQueue& queue, const WaitingRequest& request)
{
    return std::ranges::all_of(queue.ranks, [&](const AdmissionRank& rank) { return rank.waiting.empty() || internal::goesBefore(request, rank.waiting.front()); });
}

Duration expectedWait(const AdmissionQueue& queue, const WaitingRequest& request, CellCapacity capacity)
{
    Duration ahead {};
    Duration aheadInRank {};
    bool starved = false;
    for (const AdmissionRank& rank : queue.ranks) {
        if (request.priority < rank.priority)
            break;
        starved = rank.priority == request.priority && internal::isStarved(queue, rank);
        for (const WaitingRequest& waiting : rank.waiting) {
            if (!internal::goesBefore(waiting, request))
                break;
            ahead += waiting.work;
            aheadInRank += rank.priority == request.priority ? waiting.work : Duration {};
        }
    }
    return internal::waitBehind(ahead, aheadInRank, request.work, starved, capacity);
}

bool isWorthWaiting(const AdmissionQueue& queue, const WaitingRequest& request, CellCapacity capacity, MonotonicTime now)
{
    return capacity.slots > 0 && now + expectedWait(queue, request, capacity) <= request.startBy;
}

std::chrono::milliseconds timeToRoom(const AdmissionQueue& queue, const WaitingRequest& request, CellCapacity capacity)
{
    return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(expectedWait(queue, request, capacity)), internal::minTimeToRoom, internal::maxTimeToRoom);
}

void addWaiting(AdmissionQueue& queue, const WaitingRequest& request) { internal::insertInOrder(internal::rankOf(queue, request.priority).waiting, request); }

void addDeferred(AdmissionQueue& queue, const WaitingRequest& request) { internal::insertInOrder(queue.deferred, request); }

bool removeWaiting(AdmissionQueue& queue, const WaitingRequest& request)
{
    return internal::removeFrom(internal::rankOf(queue, request.priority).waiting, request) || internal::removeFrom(queue.deferred, request);
}

std::vector<WaitingRequest> takeUnreachable(AdmissionQueue& queue, CellCapacity capacity, MonotonicTime now)
{
    std::vector<WaitingRequest> taken;
    Duration ahead {};
    std::size_t kept = 0;
    for (AdmissionRank& rank : queue.ranks) {
        const bool starved = internal::isStarved(queue, rank);
        Duration aheadInRank {};
        std::erase_if(rank.waiting, [&](const WaitingRequest& waiting) {
            const Duration wait = internal::waitBehind(ahead, aheadInRank, waiting.work, starved, capacity);
            const bool reached = now < waiting.startBy && wait <= (waiting.startBy - now) * internal::reachTolerance;
            if (!reached || kept >= maxWaitingRequests) {
                taken.push_back(waiting);
                return true;
            }
            ahead += waiting.work;
            aheadInRank += waiting.work;
            ++kept;
            return false;
        });
    }
    while (kept + queue.deferred.size() > maxWaitingRequests) {
        taken.push_back(queue.deferred.back());
        queue.deferred.pop_back();
    }
    return taken;
}

std::vector<WaitingRequest> nextWaiting(const AdmissionQueue& queue, std::size_t count)
{
    std::vector<WaitingRequest> next;
    const AdmissionRank* starvedRank = nullptr;
    if (queue.owed >= 1) {
        for (const AdmissionRank& rank : queue.ranks) {
            if (!rank.waiting.empty() && internal::isStarved(queue, rank))
                starvedRank = &rank;
        }
    }
    if (starvedRank)
        next.push_back(starvedRank->waiting.front());
    for (const AdmissionRank& rank : queue.ranks) {
        for (const WaitingRequest& waiting : rank.waiting) {
            if (next.size() >= count)
                return next;
            if (next.empty() || waiting.placementId != next.front().placementId)
                next.push_back(waiting);
        }
    }
    return next;
}

void recordPlaced(AdmissionQueue& queue, Priority priority, MonotonicTime now)
{
    AdmissionRank& rank = internal::rankOf(queue, priority);
    if (queue.owed >= 1 && internal::isStarved(queue, rank))
        queue.owed = 0;
    else if (std::ranges::any_of(queue.ranks, [&](const AdmissionRank& other) { return priority < other.priority && internal::isStarved(queue, other); }))
        queue.owed = std::min(queue.owed + internal::starvedShare, 1.0);
    internal::decay(rank, now);
    rank.placed += 1;
}

void recordRefused(AdmissionQueue& queue, Priority priority, MonotonicTime now)
{
    AdmissionRank& rank = internal::rankOf(queue, priority);
    internal::decay(rank, now);
    rank.refused += 1;
}

} // namespace lacewingsail
