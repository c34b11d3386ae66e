#include <lacewingsail/Exchange.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

class ManualEventLoop final : public EventLoop {
public:
    void post(Handler handler) override { handler(); }
    void after(std::chrono::milliseconds, Handler handler) override { m_delayed.push_back(std::move(handler)); }

    void runDelayed()
    {
        for (const Handler& handler : std::exchange(m_delayed, {}))
            handler();
    }

    bool hasDelayed() const { return !m_delayed.empty(); }

private:
    std::vector<Handler> m_delayed;
};

struct PlacementCoordinatorFixture {
    ManualClock clock;
    GatewayBounds bounds;
    ServerRegistry registry;
    ManualEventLoop loop;
    PlacementCoordinator coordinator { registry, bounds, loop, clock, 100 };
    FleetDirectory directory { LiveHost { HostId("self"), ZoneId("a"), { "10.0.0.1", 80 } } };
    PlacementClient client { directory, coordinator, loop, clock, 1000 };
    PlacementCell cell { ServiceId("desk"), ZoneId("a"), 0, 1 };
    PlacementDemand demand;
    std::uint64_t offset = 1;
    std::uint64_t nextId = 100000;

    PlacementCoordinatorFixture()
    {
        clock.advance(1h);
        demand.service = cell.service;
        demand.latencyObjective = 1000ms;
        demand.timeToDeadline = 2000ms;
        demand.maxLoadPerSlot = 1.5;
    }

    void addServer(const std::string& id, const std::string& zone, std::chrono::milliseconds startedAt = 1s, bool draining = false)
    {
        RegisteredServer server;
        server.id = BackendServerId(id);
        server.service = cell.service;
        server.zone = ZoneId(zone);
        server.endpoint = { "10.0.1.1", 80 };
        server.slots = SlotCount { 2 };
        server.startedAt = startedAt;
        server.heartbeat = offset;
        server.draining = draining;
        registry.apply({ server.id, { {}, LogOffset { offset++ } }, server, std::nullopt }, StoreHealth::Healthy, clock.now());
        coordinator.update();
    }

    /// Does not wait for a free slot.
    std::optional<PlacementReservation> place()
    {
        std::optional<PlacementReservation> reservation;
        bool answered = false;
        const auto ticket = client.place(cell, demand, [&](std::optional<PlacementResponse> response) {
            REQUIRE(response);
            reservation = response->reservation;
            answered = true;
        });
        REQUIRE(ticket);
        if (!answered)
            client.cancel(*ticket);
        CHECK(answered);
        return reservation;
    }

    /// Asks \p asked, without waiting for a free slot.
    std::optional<PlacementDecision> decide(PlacementCoordinator& asked, PlacementDemand numbered)
    {
        std::optional<PlacementDecision> decision;
        bool answered = false;
        if (numbered.placementId == 0)
            numbered.placementId = nextId++;
        asked.place(cell, numbered, [&](const std::optional<PlacementDecision>& answer) {
            decision = answer;
            answered = true;
        });
        if (!answered) {
            const PlacementOutcome cancellation { BackendServerId(), numbered.placementId, PlacementStatus::Cancelled, {}, std::nullopt };
            asked.recordOutcomes(std::span(&cancellation, 1));
        }
        CHECK(answered);
        return decision;
    }

    std::optional<PlacementDecision> decide(PlacementCoordinator& asked) { return decide(asked, demand); }
    std::optional<PlacementDecision> decide() { return decide(coordinator); }

    void finish(const PlacementReservation& reservation, PlacementStatus status)
    {
        PlacementOutcome outcome;
        outcome.status = status;
        outcome.duration = 300ms;
        client.reportOutcome(reservation, outcome);
    }
};

} // namespace

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "place, server of another zone or draining, is not chosen")
{
    addServer("far", "b");
    addServer("draining", "a", 1s, true);
    CHECK_FALSE(decide());
    addServer("near", "a");
    const auto decision = decide();
    REQUIRE(decision);
    CHECK(decision->server == BackendServerId("near"));
}

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "place, zone is evacuated, chooses none of its servers until that is taken back")
{
    addServer("i-1", "a");
    REQUIRE(place());
    registry.apply(ZoneEvacuation { ZoneId("a"), { {}, LogOffset { 10 } }, false }, "store", clock.now());
    coordinator.update();
    CHECK_FALSE(decide());
    cell.zone = ZoneId("b");
    addServer("i-2", "b");
    CHECK(decide());
    cell.zone = ZoneId("a");
    registry.apply(ZoneEvacuation { ZoneId("a"), { {}, LogOffset { 11 } }, true }, "store", clock.now());
    coordinator.update();
    CHECK(decide());
}

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "place, servers full, succeeds again when a request ends")
{
    addServer("i-1", "a");
    std::vector<PlacementReservation> reservations;
    while (const auto reservation = place())
        reservations.push_back(*reservation);
    CHECK(reservations.size() == 3);
    finish(reservations.front(), PlacementStatus::Succeeded);
    CHECK(place());
    CHECK_FALSE(place());
}

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "place, servers full, returns when to retry")
{
    addServer("i-1", "a");
    while (place()) { }
    std::optional<PlacementDecision> decision;
    while (!decision)
        coordinator.place(cell, demand, [&](const std::optional<PlacementDecision>& answer) { decision = answer; });
    CHECK_FALSE(decision->server);
    CHECK(decision->retryAfter >= 100ms);
    CHECK(decision->retryAfter <= 1s);
}

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "update, server restarted under the same id, has no placements")
{
    addServer("i-1", "a");
    while (place()) { }
    addServer("i-1", "a", 2s);
    CHECK(place());
}

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "recordOutcomes, outcome for a removed server, is ignored")
{
    addServer("i-1", "a");
    const auto reservation = place();
    REQUIRE(reservation);
    registry.apply({ reservation->server, { {}, LogOffset { offset++ } }, std::nullopt, std::nullopt }, StoreHealth::Healthy, clock.now());
    coordinator.update();
    finish(*reservation, PlacementStatus::Failed);
    CHECK_FALSE(decide());
}

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "place, retry, is charged to the service's retry budget")
{
    addServer("i-1", "a");
    addServer("i-2", "a");
    demand.isRetry = true;
    const auto first = decide();
    REQUIRE(first);
    CHECK(first->retryBudgetExhausted);
    demand.isRetry = false;
    for (int request = 0; request < 20; ++request) {
        const auto reservation = place();
        REQUIRE(reservation);
        finish(*reservation, PlacementStatus::Succeeded);
        clock.advance(100ms);
    }
    demand.isRetry = true;
    int retries = 0;
    while (const auto decision = decide()) {
        if (decision->retryBudgetExhausted)
            break;
        PlacementOutcome outcome { *decision->server, decision->placementId, PlacementStatus::Succeeded, 300ms, std::nullopt };
        coordinator.recordOutcomes(std::span(&outcome, 1));
        ++retries;
    }
    CHECK(retries >= 2);
    CHECK(retries <= bounds.retryRatio * 20 + bounds.retrySlack * 0.2);
}

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "place, cancelled placements, earn no retry")
{
    addServer("i-1", "a");
    addServer("i-2", "a");
    for (int request = 0; request < 40; ++request) {
        const auto reservation = place();
        REQUIRE(reservation);
        finish(*reservation, PlacementStatus::Cancelled);
    }
    demand.isRetry = true;
    const auto decision = decide();
    REQUIRE(decision);
    CHECK(decision->retryBudgetExhausted);
}

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "place, no live host in the servers' zone, calls back with nothing")
{
    addServer("i-1", "b");
    cell.zone = ZoneId("b");
    bool answered = false;
    client.place(cell, demand, [&](const std::optional<PlacementResponse>& response) {
        answered = true;
        CHECK_FALSE(response);
    });
    CHECK(answered);
}

namespace {

/// \brief Another host that coordinates, behind calls whose messages the test can lose.
class LossyCalls final : public HostCalls {
public:
    explicit LossyCalls(PlacementCoordinator& coordinator)
        : m_coordinator(coordinator)
    {
    }

    void exchange(const Endpoint&, std::unique_ptr<protocol::ExchangeRequest>, ExchangeCallback) override { }
    void requestTokens(const Endpoint&, const TokenDemand&, TokenCallback) override { }

    void place(const Endpoint&, const PlacementCell& cell, const PlacementDemand& demand, const std::vector<PlacementOutcome>& outcomes, PlacementCallback callback) override
    {
        if (!losesRequests)
            m_coordinator.recordOutcomes(outcomes);
        lastDemand = demand;
        if (losesRequests)
            return callback({});
        m_coordinator.place(cell, demand, [this, callback](const std::optional<PlacementDecision>& decision) {
            callback(losesReplies ? PlaceCallResult {} : PlaceCallResult { true, decision });
        });
    }

    void reportOutcomes(const Endpoint&, const std::vector<PlacementOutcome>& outcomes, DeliveryCallback callback) override
    {
        if (!losesRequests)
            m_coordinator.recordOutcomes(outcomes);
        callback(!losesRequests && !losesReplies);
    }

    bool losesRequests = false;
    bool losesReplies = false;
    PlacementDemand lastDemand;

private:
    PlacementCoordinator& m_coordinator;
};

struct RemoteCoordinatorFixture : PlacementCoordinatorFixture {
    PlacementCoordinator remote { registry, bounds, loop, clock, 5000 };
    LossyCalls calls { remote };

    RemoteCoordinatorFixture()
    {
        cell.zone = ZoneId("b");
        addServer("i-1", "b");
        remote.update();
        directory.recordAlive({ HostId("remote"), ZoneId("b"), { "10.0.0.2", 80 }, 0.1 }, clock.now(), clock.now(), false);
        client.connect(calls);
    }

    /// Requests that the only server can still take, tried at the remote coordinator itself.
    int freeCapacity()
    {
        std::vector<PlacementOutcome> placed;
        while (const auto decision = decide(remote)) {
            if (!decision->server)
                break;
            placed.push_back({ *decision->server, decision->placementId, PlacementStatus::Cancelled, {}, std::nullopt });
        }
        remote.recordOutcomes(placed);
        return static_cast<int>(placed.size());
    }

    void placeWithoutReply()
    {
        client.place(cell, demand, [](const std::optional<PlacementResponse>& response) { CHECK_FALSE(response); });
    }
};

} // namespace

TEST_CASE_FIXTURE(RemoteCoordinatorFixture, "place, reply is lost, the placement is cancelled at the coordinator")
{
    const int capacity = freeCapacity();
    calls.losesReplies = true;
    placeWithoutReply();
    CHECK(freeCapacity() == capacity - 1);
    calls.losesReplies = false;
    loop.runDelayed();
    CHECK(freeCapacity() == capacity);
}

TEST_CASE_FIXTURE(RemoteCoordinatorFixture, "reportOutcome, report is lost, is delivered later")
{
    const int capacity = freeCapacity();
    const auto reservation = place();
    REQUIRE(reservation);
    calls.losesRequests = true;
    finish(*reservation, PlacementStatus::Succeeded);
    loop.runDelayed();
    CHECK(freeCapacity() == capacity - 1);
    calls.losesRequests = false;
    loop.runDelayed();
    loop.runDelayed();
    CHECK(freeCapacity() == capacity);
}

TEST_CASE_FIXTURE(RemoteCoordinatorFixture, "reportOutcome, coordinator stays silent, gives up after some seconds")
{
    const auto reservation = place();
    REQUIRE(reservation);
    calls.losesRequests = true;
    finish(*reservation, PlacementStatus::Succeeded);
    for (int step = 0; step < 40; ++step) {
        loop.runDelayed();
        clock.advance(250ms);
    }
    calls.losesRequests = false;
    demand.timeToDeadline = 60s;
    CHECK_FALSE(loop.hasDelayed());
}

TEST_CASE_FIXTURE(RemoteCoordinatorFixture, "recordOutcomes, acknowledgement is lost and the outcome arrives twice, counts once")
{
    demand.canRetry = true;
    for (int request = 0; request < 2; ++request) {
        const auto reservation = place();
        REQUIRE(reservation);
        calls.losesReplies = request == 1;
        finish(*reservation, request == 0 ? PlacementStatus::Succeeded : PlacementStatus::Failed);
        loop.runDelayed();
    }
    const double lossBefore = decide(remote)->expectedLoss;
    clock.advance(250ms);
    loop.runDelayed();
    loop.runDelayed();
    CHECK(decide(remote)->expectedLoss <= lossBefore);
}

TEST_CASE_FIXTURE(RemoteCoordinatorFixture, "place, arrives after its cancellation, places nothing")
{
    const int capacity = freeCapacity();
    calls.losesRequests = true;
    placeWithoutReply();
    calls.losesRequests = false;
    loop.runDelayed();
    const auto decision = decide(remote, calls.lastDemand);
    REQUIRE(decision);
    CHECK_FALSE(decision->server);
    CHECK(freeCapacity() == capacity);
}

TEST_CASE_FIXTURE(RemoteCoordinatorFixture, "cancel, caller leaves while its demand waits at another host, it leaves the queue")
{
    for (int capacity = freeCapacity(); capacity > 0; --capacity)
        REQUIRE(place());
    bool answered = false;
    const auto ticket = client.place(cell, demand, [&](const std::optional<PlacementResponse>& response) {
        answered = true;
        REQUIRE(response);
        CHECK_FALSE(response->reservation);
    });
    REQUIRE(ticket);
    CHECK(remote.waitingDemands() == 1);
    client.cancel(*ticket);
    loop.runDelayed();
    CHECK(remote.waitingDemands() == 0);
    CHECK(answered);
}

TEST_CASE_FIXTURE(RemoteCoordinatorFixture, "place, reply is lost after a wait, the placement is cancelled at the coordinator")
{
    std::vector<PlacementReservation> running;
    for (int capacity = freeCapacity(); capacity > 0; --capacity) {
        const auto reservation = place();
        REQUIRE(reservation);
        running.push_back(*reservation);
    }
    calls.losesReplies = true;
    placeWithoutReply();
    CHECK(remote.waitingDemands() == 1);
    finish(running.front(), PlacementStatus::Succeeded);
    loop.runDelayed();
    CHECK(remote.waitingDemands() == 0);
    calls.losesReplies = false;
    for (int step = 0; step < 4; ++step)
        loop.runDelayed();
    CHECK(freeCapacity() == 1);
}
