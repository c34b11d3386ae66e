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

struct PlacementKeeperFixture {
    ManualClock clock;
    GatewayBounds bounds;
    ServerRegistry registry;
    PlacementKeeper keeper { registry, bounds, clock, 100 };
    IdleLoop loop;
    FleetDirectory directory { LiveHost { HostId("self"), ZoneId("a"), { "10.0.0.1", 80 } } };
    SharedPlacement placement { directory, keeper, loop, clock };
    PlacementCell cell { ServiceId("desk"), ZoneId("a"), 0, 1 };
    PlacementDemand demand;
    std::uint64_t offset = 1;

    PlacementKeeperFixture()
    {
        clock.advance(1h);
        demand.service = cell.service;
        demand.latencyObjective = 1000ms;
        demand.timeToDeadline = 2000ms;
        demand.maxLoadPerSlot = 1.5;
    }

    void addServer(const std::string& id, const std::string& zone, std::chrono::milliseconds born = 1s, bool draining = false)
    {
        RegisteredServer server;
        server.id = BackendServerId(id);
        server.service = cell.service;
        server.zone = ZoneId(zone);
        server.endpoint = { "10.0.1.1", 80 };
        server.slots = SlotCount { 2 };
        server.born = born;
        server.heartbeat = offset;
        server.draining = draining;
        registry.apply({ server.id, LogOffset { offset++ }, server, std::nullopt }, StoreTrust::Sound, clock.now());
        keeper.update();
    }

    std::optional<PlacementTicket> ask()
    {
        std::optional<PlacementTicket> ticket;
        placement.ask(cell, demand, [&](std::optional<SharedReply> reply) {
            REQUIRE(reply);
            ticket = reply->ticket;
        });
        return ticket;
    }

    void end(const PlacementTicket& ticket, PlacementStatus how)
    {
        PlacementOutcome outcome;
        outcome.status = how;
        outcome.duration = 300ms;
        placement.report(ticket, outcome);
    }
};

} // namespace

TEST_CASE_FIXTURE(PlacementKeeperFixture, "place, server of another zone or leaving, is not used")
{
    addServer("far", "b");
    addServer("leaving", "a", 1s, true);
    CHECK_FALSE(keeper.place(cell, demand));
    addServer("near", "a");
    const auto reply = keeper.place(cell, demand);
    REQUIRE(reply);
    CHECK(reply->server == BackendServerId("near"));
}

TEST_CASE_FIXTURE(PlacementKeeperFixture, "ask, servers full, gives room again when requests end")
{
    addServer("i-1", "a");
    std::vector<PlacementTicket> tickets;
    while (const auto ticket = ask())
        tickets.push_back(*ticket);
    CHECK(tickets.size() == 3);
    end(tickets.front(), PlacementStatus::Succeeded);
    CHECK(ask());
    CHECK_FALSE(ask());
}

TEST_CASE_FIXTURE(PlacementKeeperFixture, "ask, servers full, says when to come back")
{
    addServer("i-1", "a");
    while (ask()) { }
    const auto reply = keeper.place(cell, demand);
    REQUIRE(reply);
    CHECK_FALSE(reply->server);
    CHECK(reply->roomAfter >= 100ms);
    CHECK(reply->roomAfter <= 1s);
}

TEST_CASE_FIXTURE(PlacementKeeperFixture, "update, server starts again under its id, holds nothing of before")
{
    addServer("i-1", "a");
    while (ask()) { }
    addServer("i-1", "a", 2s);
    CHECK(ask());
}

TEST_CASE_FIXTURE(PlacementKeeperFixture, "settle, outcome for a server that has left, changes nothing")
{
    addServer("i-1", "a");
    const auto ticket = ask();
    REQUIRE(ticket);
    registry.apply({ ticket->server, LogOffset { offset++ }, std::nullopt, std::nullopt }, StoreTrust::Sound, clock.now());
    keeper.update();
    end(*ticket, PlacementStatus::Failed);
    CHECK_FALSE(keeper.place(cell, demand));
}

TEST_CASE_FIXTURE(PlacementKeeperFixture, "place, request sent before, needs a further attempt of the service's allowance")
{
    addServer("i-1", "a");
    addServer("i-2", "a");
    demand.isRetry = true;
    const auto none = keeper.place(cell, demand);
    REQUIRE(none);
    CHECK(none->allowanceUsed);
    demand.isRetry = false;
    for (int request = 0; request < 20; ++request) {
        const auto ticket = ask();
        REQUIRE(ticket);
        end(*ticket, PlacementStatus::Succeeded);
        clock.advance(100ms);
    }
    demand.isRetry = true;
    int repeats = 0;
    while (const auto reply = keeper.place(cell, demand)) {
        if (reply->allowanceUsed)
            break;
        PlacementOutcome outcome { *reply->server, reply->number, PlacementStatus::Succeeded, 300ms, std::nullopt };
        keeper.settle(std::span(&outcome, 1));
        ++repeats;
    }
    CHECK(repeats >= 2);
    CHECK(repeats <= bounds.retryRatio * 20 + bounds.retrySlack * 0.2);
}

TEST_CASE_FIXTURE(PlacementKeeperFixture, "place, offers that are not taken up, earn no further attempt")
{
    addServer("i-1", "a");
    addServer("i-2", "a");
    for (int request = 0; request < 40; ++request) {
        const auto ticket = ask();
        REQUIRE(ticket);
        end(*ticket, PlacementStatus::Cancelled);
    }
    demand.isRetry = true;
    const auto reply = keeper.place(cell, demand);
    REQUIRE(reply);
    CHECK(reply->allowanceUsed);
}

TEST_CASE_FIXTURE(PlacementKeeperFixture, "ask, no host lives in the servers' zone, tells the caller to choose alone")
{
    addServer("i-1", "b");
    cell.zone = ZoneId("b");
    bool answered = false;
    placement.ask(cell, demand, [&](const std::optional<SharedReply>& reply) {
        answered = true;
        CHECK_FALSE(reply);
    });
    CHECK(answered);
}
