#include <lacewingsail/Exchange.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

class IdleLoop final : public EventLoop {
public:
    void post(Handler handler) override { handler(); }
    void after(std::chrono::milliseconds, Handler handler) override { m_later.push_back(std::move(handler)); }

    void runLater()
    {
        for (const Handler& handler : std::exchange(m_later, {}))
            handler();
    }

private:
    std::vector<Handler> m_later;
};

struct PlacementCoordinatorFixture {
    ManualClock clock;
    GatewayBounds bounds;
    ServerRegistry registry;
    PlacementCoordinator coordinator { registry, bounds, clock, 100 };
    IdleLoop loop;
    FleetDirectory directory { LiveHost { HostId("self"), ZoneId("a"), { "10.0.0.1", 80 } } };
    PlacementClient placement { directory, coordinator, loop, clock };
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
        registry.apply({ server.id, LogOffset { offset++ }, server, std::nullopt }, StoreHealth::Healthy, clock.now());
        coordinator.update();
    }

    std::optional<PlacementReservation> ask()
    {
        std::optional<PlacementReservation> reservation;
        placement.place(cell, demand, [&](std::optional<PlacementResponse> reply) {
            REQUIRE(reply);
            reservation = reply->reservation;
        });
        return reservation;
    }

    void end(const PlacementReservation& reservation, PlacementStatus how)
    {
        PlacementOutcome outcome;
        outcome.status = how;
        outcome.duration = 300ms;
        placement.reportOutcome(reservation, outcome);
    }
};

} // namespace

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "place, server of another zone or leaving, is not used")
{
    addServer("far", "b");
    addServer("leaving", "a", 1s, true);
    CHECK_FALSE(coordinator.place(cell, demand));
    addServer("near", "a");
    const auto reply = coordinator.place(cell, demand);
    REQUIRE(reply);
    CHECK(reply->server == BackendServerId("near"));
}

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "ask, servers full, gives room again when requests end")
{
    addServer("i-1", "a");
    std::vector<PlacementReservation> reservations;
    while (const auto reservation = ask())
        reservations.push_back(*reservation);
    CHECK(reservations.size() == 3);
    end(reservations.front(), PlacementStatus::Succeeded);
    CHECK(ask());
    CHECK_FALSE(ask());
}

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "ask, servers full, says when to come back")
{
    addServer("i-1", "a");
    while (ask()) { }
    const auto reply = coordinator.place(cell, demand);
    REQUIRE(reply);
    CHECK_FALSE(reply->server);
    CHECK(reply->retryAfter >= 100ms);
    CHECK(reply->retryAfter <= 1s);
}

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "update, server starts again under its id, holds nothing of before")
{
    addServer("i-1", "a");
    while (ask()) { }
    addServer("i-1", "a", 2s);
    CHECK(ask());
}

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "settle, outcome for a server that has left, changes nothing")
{
    addServer("i-1", "a");
    const auto reservation = ask();
    REQUIRE(reservation);
    registry.apply({ reservation->server, LogOffset { offset++ }, std::nullopt, std::nullopt }, StoreHealth::Healthy, clock.now());
    coordinator.update();
    end(*reservation, PlacementStatus::Failed);
    CHECK_FALSE(coordinator.place(cell, demand));
}

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "place, request sent before, needs a further attempt of the service's allowance")
{
    addServer("i-1", "a");
    addServer("i-2", "a");
    demand.isRetry = true;
    const auto none = coordinator.place(cell, demand);
    REQUIRE(none);
    CHECK(none->retryBudgetExhausted);
    demand.isRetry = false;
    for (int request = 0; request < 20; ++request) {
        const auto reservation = ask();
        REQUIRE(reservation);
        end(*reservation, PlacementStatus::Succeeded);
        clock.advance(100ms);
    }
    demand.isRetry = true;
    int repeats = 0;
    while (const auto reply = coordinator.place(cell, demand)) {
        if (reply->retryBudgetExhausted)
            break;
        PlacementOutcome outcome { *reply->server, reply->placementId, PlacementStatus::Succeeded, 300ms, std::nullopt };
        coordinator.recordOutcomes(std::span(&outcome, 1));
        ++repeats;
    }
    CHECK(repeats >= 2);
    CHECK(repeats <= bounds.retryRatio * 20 + bounds.retrySlack * 0.2);
}

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "place, offers that are not taken up, earn no further attempt")
{
    addServer("i-1", "a");
    addServer("i-2", "a");
    for (int request = 0; request < 40; ++request) {
        const auto reservation = ask();
        REQUIRE(reservation);
        end(*reservation, PlacementStatus::Cancelled);
    }
    demand.isRetry = true;
    const auto reply = coordinator.place(cell, demand);
    REQUIRE(reply);
    CHECK(reply->retryBudgetExhausted);
}

TEST_CASE_FIXTURE(PlacementCoordinatorFixture, "ask, no host lives in the servers' zone, tells the caller to choose alone")
{
    addServer("i-1", "b");
    cell.zone = ZoneId("b");
    bool answered = false;
    placement.place(cell, demand, [&](const std::optional<PlacementResponse>& reply) {
        answered = true;
        CHECK_FALSE(reply);
    });
    CHECK(answered);
}
