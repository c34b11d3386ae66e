#include <lacewingsail/Exchange.h>

#include <doctest/doctest.h>

#include <map>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

/// \brief Runs handlers when the clock has reached their time.
class SteppedEventLoop final : public EventLoop {
public:
    explicit SteppedEventLoop(ManualClock& clock)
        : m_clock(clock)
    {
    }

    void post(Handler handler) override { handler(); }
    void after(std::chrono::milliseconds delay, Handler handler) override { m_delayed.emplace(m_clock.now() + delay, std::move(handler)); }

    void advance(std::chrono::milliseconds time)
    {
        const MonotonicTime end = m_clock.now() + time;
        while (!m_delayed.empty() && m_delayed.begin()->first <= end) {
            const auto next = m_delayed.extract(m_delayed.begin());
            m_clock.advance(std::max(next.key() - m_clock.now(), Duration {}));
            next.mapped()();
        }
        m_clock.advance(end - m_clock.now());
    }

    bool isIdle() const { return m_delayed.empty(); }

private:
    ManualClock& m_clock;
    std::multimap<MonotonicTime, Handler> m_delayed;
};

/// \brief The answers to one demand.
struct Answers {
    int count = 0;
    std::optional<PlacementDecision> last;

    bool isPlaced() const { return last && last->server; }
    bool isRefused() const { return last && !last->server && !last->shouldWait; }
};

struct PlacementQueueFixture {
    ManualClock clock;
    GatewayBounds bounds;
    ServerRegistry registry;
    SteppedEventLoop loop { clock };
    PlacementCoordinator coordinator { registry, bounds, loop, clock, 100 };
    PlacementCell cell { ServiceId("desk"), ZoneId("a"), 0, 1 };
    PlacementDemand demand;
    std::map<std::uint64_t, Answers> answers;
    std::uint64_t nextId = 1;
    std::uint64_t offset = 1;

    PlacementQueueFixture()
    {
        clock.advance(1h);
        demand.service = cell.service;
        demand.latencyObjective = 1000ms;
        demand.timeToDeadline = 2000ms;
        addServer("i-1");
    }

    void addServer(const std::string& id)
    {
        RegisteredServer server;
        server.id = BackendServerId(id);
        server.service = cell.service;
        server.zone = cell.zone;
        server.endpoint = { "10.0.1.1", 80 };
        server.slots = SlotCount { 2 };
        server.startedAt = 1s;
        server.heartbeat = offset;
        registry.apply({ server.id, { {}, LogOffset { offset++ } }, server, std::nullopt }, StoreHealth::Healthy, clock.now());
        coordinator.update();
    }

    std::uint64_t ask(PlacementCoordinator& asked, PlacementDemand asking)
    {
        asking.placementId = nextId++;
        asked.place(cell, asking, [this, id = asking.placementId](const std::optional<PlacementDecision>& decision) {
            ++answers[id].count;
            answers[id].last = decision;
        });
        return asking.placementId;
    }

    std::uint64_t ask(Priority priority = { 1 })
    {
        PlacementDemand asking = demand;
        asking.priority = priority;
        return ask(coordinator, asking);
    }

    /// \returns the placements.
    std::vector<std::uint64_t> fill(PlacementCoordinator& asked)
    {
        std::vector<std::uint64_t> placed;
        for (int count = 0; count < 3; ++count) {
            placed.push_back(ask(asked, demand));
            REQUIRE(answers[placed.back()].isPlaced());
        }
        return placed;
    }

    void end(PlacementCoordinator& asked, std::uint64_t id, PlacementStatus status = PlacementStatus::Succeeded)
    {
        const PlacementOutcome outcome { BackendServerId("i-1"), id, status, 300ms, std::nullopt };
        asked.recordOutcomes(std::span(&outcome, 1));
    }

    void end(std::uint64_t id) { end(coordinator, id); }

    void cancel(std::uint64_t id)
    {
        const PlacementOutcome outcome { BackendServerId(), id, PlacementStatus::Cancelled, {}, std::nullopt };
        coordinator.recordOutcomes(std::span(&outcome, 1));
    }
};

} // namespace

TEST_CASE_FIXTURE(PlacementQueueFixture, "place, servers full, waits and gets the slot that becomes free")
{
    const auto running = fill(coordinator);
    const auto waiting = ask();
    CHECK(answers[waiting].count == 0);
    loop.advance(50ms);
    CHECK(answers[waiting].count == 0);
    end(running.front());
    CHECK(answers[waiting].isPlaced());
    CHECK(answers[waiting].count == 1);
}

TEST_CASE_FIXTURE(PlacementQueueFixture, "place, several ranks wait, slots go to the most urgent first")
{
    const auto running = fill(coordinator);
    const auto low = ask({ 2 });
    const auto high = ask({ 0 });
    end(running[0]);
    CHECK(answers[high].isPlaced());
    CHECK(answers[low].count == 0);
    end(running[1]);
    CHECK(answers[low].isPlaced());
}

TEST_CASE_FIXTURE(PlacementQueueFixture, "place, a slot is free but others wait, nobody of a lower rank overtakes")
{
    const auto running = fill(coordinator);
    PlacementDemand excluding = demand;
    excluding.priority = { 0 };
    const auto high = ask(coordinator, excluding);
    const auto low = ask({ 2 });
    end(running.front());
    CHECK(answers[high].isPlaced());
    CHECK(answers[low].count == 0);
}

TEST_CASE_FIXTURE(PlacementQueueFixture, "place, no outcome arrives, a slot is given once its placement has expired")
{
    demand.timeToDeadline = 600ms;
    fill(coordinator);
    loop.advance(750ms);
    demand.timeToDeadline = 2000ms;
    const auto waiting = ask();
    CHECK(answers[waiting].count == 0);
    loop.advance(60ms);
    CHECK(answers[waiting].isPlaced());
}

TEST_CASE_FIXTURE(PlacementQueueFixture, "place, held for a while, is to ask again at once and keeps its place")
{
    const auto running = fill(coordinator);
    const auto waiting = ask();
    loop.advance(110ms);
    REQUIRE(answers[waiting].count == 1);
    CHECK(answers[waiting].last->shouldWait);
    CHECK(answers[waiting].last->retryAfter == 0ms);
    const auto newer = ask();
    PlacementDemand again = demand;
    again.age = 115ms;
    again.timeToDeadline -= 115ms;
    const auto returned = ask(coordinator, again);
    end(running.front());
    CHECK(answers[returned].isPlaced());
    CHECK(answers[newer].count == 0);
}

TEST_CASE_FIXTURE(PlacementQueueFixture, "place, backlog beyond what is reached in time, is refused at once with a time to come back")
{
    fill(coordinator);
    std::uint64_t last = 0;
    for (int count = 0; count < 20; ++count)
        last = ask();
    REQUIRE(answers[last].isRefused());
    CHECK(answers[last].last->retryAfter >= 50ms);
    CHECK(answers[last].last->retryAfter <= 1000ms);
    CHECK(coordinator.waitingDemands() < 20);
}

TEST_CASE_FIXTURE(PlacementQueueFixture, "place, urgent demands fill the queue, lower ranks are told at once")
{
    fill(coordinator);
    PlacementDemand aged = demand;
    aged.priority = { 2 };
    aged.age = 200ms;
    const auto low = ask(coordinator, aged);
    CHECK(answers[low].count == 0);
    for (int count = 0; count < 4; ++count)
        ask({ 0 });
    CHECK(answers[low].isRefused());
}

TEST_CASE_FIXTURE(PlacementQueueFixture, "recordOutcomes, waiting demand is cancelled, is never placed")
{
    const auto running = fill(coordinator);
    const auto waiting = ask();
    cancel(waiting);
    CHECK(answers[waiting].count == 1);
    CHECK_FALSE(answers[waiting].isPlaced());
    CHECK(coordinator.waitingDemands() == 0);
    end(running.front());
    const auto next = ask();
    CHECK(answers[next].isPlaced());
    CHECK(answers[waiting].count == 1);
}

TEST_CASE_FIXTURE(PlacementQueueFixture, "place, the same demand arrives twice, is placed once")
{
    const auto running = fill(coordinator);
    const auto waiting = ask();
    PlacementDemand copy = demand;
    copy.placementId = waiting;
    std::optional<PlacementDecision> second;
    coordinator.place(cell, copy, [&](const std::optional<PlacementDecision>& decision) { second = decision; });
    REQUIRE(second);
    CHECK_FALSE(second->server);
    end(running.front());
    CHECK(answers[waiting].isPlaced());
    CHECK(answers[waiting].count == 1);
}

TEST_CASE_FIXTURE(PlacementQueueFixture, "place, its reply is lost and the host cancels, holds no slot")
{
    const auto running = fill(coordinator);
    const auto waiting = ask();
    end(running.front());
    REQUIRE(answers[waiting].isPlaced());
    cancel(waiting);
    CHECK(answers[ask()].isPlaced());
}

TEST_CASE_FIXTURE(PlacementQueueFixture, "place, coordinator is lost, its successor serves in the same order")
{
    PlacementCoordinator successor { registry, bounds, loop, clock, 100 };
    successor.update();
    const auto running = fill(successor);
    PlacementDemand newer = demand;
    newer.age = 200ms;
    PlacementDemand older = demand;
    older.age = 250ms;
    const auto second = ask(successor, newer);
    const auto first = ask(successor, older);
    end(successor, running.front());
    CHECK(answers[first].isPlaced());
    CHECK(answers[second].count == 0);
}

TEST_CASE_FIXTURE(PlacementQueueFixture, "stopHolding, demands wait, are told at once to ask again")
{
    fill(coordinator);
    const auto waiting = ask();
    coordinator.stopHolding();
    REQUIRE(answers[waiting].count == 1);
    CHECK(answers[waiting].last->shouldWait);
    const auto later = ask();
    REQUIRE(answers[later].count == 1);
    CHECK(answers[later].last->shouldWait);
    CHECK(answers[later].last->retryAfter > 0ms);
}

TEST_CASE_FIXTURE(PlacementQueueFixture, "update, the cell's last server has left, waiting demands are told")
{
    fill(coordinator);
    const auto waiting = ask();
    registry.apply({ BackendServerId("i-1"), { {}, LogOffset { offset++ } }, std::nullopt, std::nullopt }, StoreHealth::Healthy, clock.now());
    coordinator.update();
    CHECK(answers[waiting].count == 1);
    CHECK_FALSE(answers[waiting].last);
}

TEST_CASE_FIXTURE(PlacementQueueFixture, "update, a server joins, waiting demands are placed on it")
{
    fill(coordinator);
    const auto waiting = ask();
    addServer("i-2");
    CHECK(answers[waiting].isPlaced());
}

TEST_CASE_FIXTURE(PlacementQueueFixture, "place, long request with slack, leaves the last slots to short ones")
{
    PlacementDemand longer = demand;
    longer.latencyObjective = 5000ms;
    longer.timeToDeadline = 10000ms;
    const auto first = ask(coordinator, longer);
    CHECK(answers[first].isPlaced());
    const auto deferred = ask(coordinator, longer);
    CHECK(answers[deferred].count == 0);
    CHECK(answers[ask()].isPlaced());
    loop.advance(110ms);
    REQUIRE(answers[deferred].count == 1);
    CHECK(answers[deferred].last->shouldWait);
}

TEST_CASE_FIXTURE(PlacementQueueFixture, "place, nothing waits any more, no timer runs")
{
    const auto running = fill(coordinator);
    const auto waiting = ask();
    CHECK_FALSE(loop.isIdle());
    end(running.front());
    REQUIRE(answers[waiting].isPlaced());
    loop.advance(20ms);
    CHECK(loop.isIdle());
}
