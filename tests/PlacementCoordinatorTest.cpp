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

private:
    std::vector<Handler> m_delayed;
};

struct PlacementCoordinatorFixture {
    ManualClock clock;
    GatewayBounds bounds;
    ServerRegistry registry;
    PlacementCoordinator coordinator { registry, bounds, clock, 100 };
    ManualEventLoop loop;
    FleetDirectory directory { LiveHost { HostId("self"), ZoneId("a"), { "10.0.0.1", 80 } } };
    PlacementClient client { directory, coordinator, loop, clock };
    PlacementCell cell { ServiceId("desk"), ZoneId("a"), 0, 1 };
    PlacementDemand demand;
    std::uint64_t offset = 1;

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

    std::optional<PlacementReservation> place()
    {
        std::optional<PlacementReservation> reservation;
        client.place(cell, demand, [&](std::optional<PlacementResponse> response) {
            REQUIRE(response);
            reservation = response->reservation;
        });
        return reservation;
    }

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
    CHECK_FALSE(coordinator.place(cell, demand));
    addServer("near", "a");
    const auto decision = coordinator.place(cell, demand);
    REQUIRE(decision);
    CHECK(decision->server == BackendServerId("near"));
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
    const auto decision = coordinator.place(cell, demand);
    REQUIRE(decision);
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
    CHECK_FALSE(coordinator.place(cell, demand));
}

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "place, retry, is charged to the service's retry budget")
{
    addServer("i-1", "a");
    addServer("i-2", "a");
    demand.isRetry = true;
    const auto first = coordinator.place(cell, demand);
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
    while (const auto decision = coordinator.place(cell, demand)) {
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
    const auto decision = coordinator.place(cell, demand);
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
