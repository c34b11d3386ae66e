#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

constexpr Priority urgent { 0 };
constexpr Priority usual { 1 };
constexpr Priority lowest { 2 };

/// \brief A kind of request that arrives at even intervals.
struct Kind {
    Priority priority;
    Duration interval;
    Duration work;
    std::chrono::milliseconds latencyObjective { 1000 };
};

struct Counts {
    int arrived = 0;
    int served = 0;
    int late = 0;

    double servedShare() const { return static_cast<double>(served) / arrived; }
};

/// \brief Slots that work through the queue's requests, in steps of a millisecond.
struct AdmissionQueueFixture {
    MonotonicTime now = MonotonicTime {} + 1h;
    AdmissionQueue queue;
    CellCapacity capacity { 6 };
    std::uint64_t nextId = 1;

    WaitingRequest request(Priority priority, Duration work = 300ms, std::chrono::milliseconds latencyObjective = 1000ms, std::chrono::milliseconds age = 0ms)
    {
        PlacementDemand demand;
        demand.priority = priority;
        demand.latencyObjective = latencyObjective;
        demand.timeToDeadline = 2 * latencyObjective - age;
        demand.age = age;
        return makeWaitingRequest(demand, nextId++, work, now);
    }

    bool tryAdd(const WaitingRequest& added)
    {
        if (!isWorthWaiting(queue, added, capacity, now))
            return false;
        addWaiting(queue, added);
        return true;
    }

    std::vector<Counts> run(const std::vector<Kind>& kinds, Duration time)
    {
        std::vector<Counts> counts(kinds.size());
        std::map<std::uint64_t, std::size_t> kindOf;
        std::vector<MonotonicTime> busyUntil(static_cast<std::size_t>(capacity.slots), now);
        const MonotonicTime start = now;
        std::vector<MonotonicTime> arrivals(kinds.size(), start);
        for (; now < start + time; now += 1ms) {
            for (std::size_t index = 0; index < kinds.size(); ++index) {
                for (; arrivals[index] <= now; arrivals[index] += kinds[index].interval) {
                    ++counts[index].arrived;
                    const WaitingRequest arrived = request(kinds[index].priority, kinds[index].work, kinds[index].latencyObjective);
                    kindOf[arrived.placementId] = index;
                    if (!tryAdd(arrived))
                        recordRefused(queue, arrived.priority, now);
                }
            }
            for (const WaitingRequest& refused : takeUnreachable(queue, capacity, now))
                recordRefused(queue, refused.priority, now);
            for (MonotonicTime& slot : busyUntil) {
                const auto next = nextWaiting(queue, 1);
                if (slot > now || next.empty())
                    continue;
                Counts& count = counts[kindOf[next.front().placementId]];
                slot = now + next.front().work;
                ++count.served;
                count.late += slot > next.front().arrivedAt + kinds[kindOf[next.front().placementId]].latencyObjective ? 1 : 0;
                recordPlaced(queue, next.front().priority, now);
                removeWaiting(queue, next.front());
            }
        }
        return counts;
    }
};

} // namespace

TEST_CASE_FIXTURE(AdmissionQueueFixture, "nextWaiting, several ranks, lists the more urgent ones first")
{
    const auto low = request(lowest);
    const auto high = request(urgent);
    const auto middle = request(usual);
    for (const WaitingRequest& added : { low, high, middle })
        addWaiting(queue, added);
    const auto next = nextWaiting(queue, 3);
    REQUIRE(next.size() == 3);
    CHECK(next[0].placementId == high.placementId);
    CHECK(next[1].placementId == middle.placementId);
    CHECK(next[2].placementId == low.placementId);
    CHECK(isFirst(queue, request(urgent, 300ms, 900ms)));
    CHECK_FALSE(isFirst(queue, request(usual, 1ms, 100ms)));
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "nextWaiting, short search and long read of one rank, the search goes first")
{
    addWaiting(queue, request(usual, 580ms, 2000ms));
    now += 100ms;
    const auto search = request(usual, 94ms, 300ms);
    addWaiting(queue, search);
    CHECK(nextWaiting(queue, 1).front().placementId == search.placementId);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "nextWaiting, equal latency objectives, the request with less work goes first")
{
    addWaiting(queue, request(usual, 300ms));
    const auto shorter = request(usual, 230ms);
    addWaiting(queue, shorter);
    CHECK(nextWaiting(queue, 1).front().placementId == shorter.placementId);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "makeWaitingRequest, demand that asks again with its age, keeps its place")
{
    const auto earlier = request(usual);
    addWaiting(queue, earlier);
    now += 100ms;
    const auto returned = request(usual, 300ms, 1000ms, 150ms);
    CHECK(isFirst(queue, returned));
    CHECK_FALSE(isFirst(queue, request(usual)));
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "isWorthWaiting, more work ahead than fits into the time, refuses at once")
{
    int held = 0;
    while (held < 1000 && tryAdd(request(usual)))
        ++held;
    CHECK(held >= 4);
    CHECK(held <= 20);
    // A more urgent one does not wait behind them.
    CHECK(tryAdd(request(urgent)));
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "isWorthWaiting, no server may take the request, refuses at once")
{
    CHECK_FALSE(isWorthWaiting(queue, request(urgent), CellCapacity {}, now));
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "takeUnreachable, urgent requests arrive, the tail is told at once")
{
    while (tryAdd(request(lowest))) { }
    const std::size_t before = waitingCount(queue);
    CHECK(takeUnreachable(queue, capacity, now).empty());
    for (int count = 0; count < 8; ++count)
        REQUIRE(tryAdd(request(urgent)));
    const auto told = takeUnreachable(queue, capacity, now);
    CHECK_FALSE(told.empty());
    for (const WaitingRequest& refused : told)
        CHECK(refused.priority == lowest);
    CHECK(waitingCount(queue) == before + 8 - told.size());
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "takeUnreachable, time is over, is told although slots are idle")
{
    addWaiting(queue, request(urgent));
    now += 600ms;
    CHECK(takeUnreachable(queue, capacity, now).size() == 1);
    CHECK(waitingCount(queue) == 0);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "takeUnreachable, queue is full, tells those that are reached last")
{
    capacity.slots = 100000;
    for (std::size_t count = 0; count < maxWaitingRequests; ++count)
        addWaiting(queue, request(usual));
    const auto low = request(lowest);
    addWaiting(queue, low);
    addWaiting(queue, request(urgent));
    const auto told = takeUnreachable(queue, capacity, now);
    CHECK(told.size() == 2);
    CHECK(waitingCount(queue) == maxWaitingRequests);
    CHECK(std::ranges::find(told, low.placementId, &WaitingRequest::placementId) != told.end());
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "timeToRoom, longer backlog, is later, within its bounds")
{
    const auto none = timeToRoom(queue, request(usual), capacity);
    while (tryAdd(request(usual))) { }
    const auto some = timeToRoom(queue, request(usual), capacity);
    CHECK(none >= 50ms);
    CHECK(some > none);
    for (int count = 0; count < 500; ++count)
        addWaiting(queue, request(usual));
    CHECK(timeToRoom(queue, request(usual), capacity) == 1000ms);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "queue, two ranks at 1.5 times the capacity, the higher one is served in full and nobody is late")
{
    // Six slots of 300 ms serve 20 requests a second.
    const auto counts = run({ { urgent, 67ms, 300ms }, { lowest, 67ms, 300ms } }, 30s);
    CHECK(counts[0].servedShare() >= 0.97);
    CHECK(counts[0].servedShare() >= counts[1].servedShare());
    CHECK(counts[1].servedShare() >= 0.25);
    CHECK(counts[0].late == 0);
    CHECK(counts[1].late == 0);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "queue, three kinds burst to double, are served by rank and all slots work")
{
    const auto counts = run({ { urgent, 100ms, 230ms }, { usual, 100ms, 300ms }, { lowest, 50ms, 320ms } }, 30s);
    CHECK(counts[0].servedShare() >= 0.97);
    CHECK(counts[0].servedShare() >= counts[1].servedShare());
    CHECK(counts[1].servedShare() >= counts[2].servedShare());
    const double work = counts[0].served * 0.23 + counts[1].served * 0.3 + counts[2].served * 0.32;
    CHECK(work >= 0.95 * 30 * 6);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "queue, short searches beside long reads of one rank, both are served")
{
    const auto counts = run({ { usual, 20ms, 94ms, 300ms }, { usual, 150ms, 580ms, 2000ms } }, 30s);
    CHECK(counts[0].servedShare() >= 0.6);
    CHECK(counts[1].servedShare() >= 0.25);
    CHECK(counts[0].late == 0);
    CHECK(counts[1].late == 0);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "queue, a rank alone exceeds the capacity, the lower one gets a bounded share")
{
    const auto counts = run({ { urgent, 33ms, 300ms }, { lowest, 200ms, 300ms } }, 60s);
    const int served = counts[0].served + counts[1].served;
    CHECK(counts[1].servedShare() >= 0.25 * (counts[0].servedShare()));
    CHECK(counts[1].served <= served * 0.15);
    // It is not served more often than the higher one.
    CHECK(counts[1].servedShare() <= counts[0].servedShare() + 0.05);
}
