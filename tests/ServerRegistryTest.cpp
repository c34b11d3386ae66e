#include <lacewingsail/Discovery.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct ServerRegistryFixture {
    ManualClock clock;
    ServerRegistry registry;

    static ServerChange change(std::uint64_t offset, std::uint64_t heartbeat, bool draining = false, std::int64_t startedAt = 1000)
    {
        RegisteredServer server;
        server.id = BackendServerId("i-1");
        server.service = ServiceId("desk");
        server.zone = ZoneId("a");
        server.endpoint = { "10.0.0.1", 80 };
        server.slots = SlotCount { 6 };
        server.draining = draining;
        server.heartbeat = heartbeat;
        server.startedAt = std::chrono::milliseconds(startedAt);
        return { server.id, { {}, LogOffset { offset } }, server, std::nullopt };
    }

    static ServerChange inEra(std::uint64_t era, ServerChange one)
    {
        one.position.era = StoreEra { era };
        return one;
    }

    static ServerChange removal(std::uint64_t offset) { return { BackendServerId("i-1"), { {}, LogOffset { offset } }, std::nullopt, std::nullopt }; }

    bool apply(const ServerChange& one, StoreHealth health = StoreHealth::Healthy) { return registry.apply(one, health, clock.now()); }
    bool inUse() const { return registry.entries().contains(BackendServerId("i-1")); }
    bool draining() const { return registry.entries().at(BackendServerId("i-1")).registration.draining; }
};

} // namespace

TEST_CASE_FIXTURE(ServerRegistryFixture, "apply, heartbeat without other changes, changes nothing")
{
    CHECK(apply(change(1, 1)));
    CHECK_FALSE(apply(change(2, 2)));
    CHECK(inUse());
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "apply, old heartbeat arrives after the announced shutdown, leaves the server draining")
{
    apply(change(1, 4));
    apply(change(2, 6, true));
    CHECK_FALSE(apply(change(3, 5)));
    CHECK(draining());
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "apply, old heartbeat arrives after the removal, does not add the server again")
{
    apply(change(1, 4));
    apply(removal(2));
    CHECK_FALSE(apply(change(3, 3)));
    CHECK_FALSE(inUse());
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "apply, next incarnation of the same id, is added whatever its heartbeat")
{
    apply(change(1, 40));
    apply(removal(2));
    CHECK(apply(change(3, 1, false, 2000)));
    CHECK(inUse());
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "apply, record older than the known one, is ignored")
{
    apply(removal(5));
    CHECK_FALSE(apply(change(4, 9)));
    CHECK_FALSE(inUse());
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "removeExpired, registration expired during an outage of the store and renewed, keeps the server")
{
    apply(change(1, 1));
    apply(removal(2), StoreHealth::Recovering);
    CHECK(inUse());
    clock.advance(1900ms);
    registry.removeExpired(StoreHealth::Recovering, clock.now());
    apply(change(3, 2));
    clock.advance(5s);
    registry.removeExpired(StoreHealth::Recovering, clock.now());
    CHECK(inUse());
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "removeExpired, registration expired during an outage of the store and not renewed, removes the server")
{
    apply(change(1, 1));
    apply(removal(2), StoreHealth::Recovering);
    clock.advance(2400ms);
    CHECK(registry.removeExpired(StoreHealth::Recovering, clock.now()));
    CHECK_FALSE(inUse());
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "removeExpired, store healthy again before the registration was renewed, removes the server at once")
{
    apply(change(1, 1));
    apply(removal(2), StoreHealth::Recovering);
    clock.advance(100ms);
    CHECK(registry.removeExpired(StoreHealth::Healthy, clock.now()));
    CHECK_FALSE(inUse());
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "replace, server missing from the latest records, is removed")
{
    apply(change(1, 1));
    CHECK(registry.replace({}, { {}, LogOffset { 9 } }, StoreHealth::Healthy, clock.now()));
    CHECK_FALSE(inUse());
    CHECK(registry.end() == StorePosition { {}, LogOffset { 9 } });
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "changesSince, peer that lacks only a removal, returns the removal")
{
    apply(change(1, 1));
    apply(removal(7));
    registry.advanceEnd({ {}, LogOffset { 8 } });
    const auto changes = registry.changesSince({ {}, LogOffset { 5 } }, clock.now());
    REQUIRE(changes);
    REQUIRE(changes->size() == 1);
    CHECK_FALSE(changes->front().server);
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "changesSince, offset before a pruned tombstone, returns nothing")
{
    apply(change(1, 1));
    apply(removal(7));
    clock.advance(61s);
    registry.removeExpired(StoreHealth::Recovering, clock.now());
    CHECK_FALSE(registry.changesSince({ {}, LogOffset { 5 } }, clock.now()));
    CHECK(registry.changesSince({ {}, LogOffset { 8 } }, clock.now()));
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "changesSince, expired registration, returns the time since it expired")
{
    apply(change(1, 1));
    apply(removal(2), StoreHealth::Recovering);
    clock.advance(700ms);
    const auto changes = registry.changesSince({ {}, LogOffset { 1 } }, clock.now());
    REQUIRE(changes);
    REQUIRE(changes->size() == 1);
    CHECK(changes->front().expiredFor == Duration(700ms));
    ServerRegistry other;
    other.apply(changes->front(), StoreHealth::Healthy, clock.now());
    clock.advance(1700ms);
    CHECK(other.removeExpired(StoreHealth::Recovering, clock.now()));
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "apply, server drains at a lower offset of a newer era, is draining")
{
    apply(inEra(1, change(90, 4)));
    CHECK(apply(inEra(2, change(30, 5, true))));
    CHECK(draining());
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "apply, copy shows a draining server as ready, leaves it draining")
{
    apply(inEra(1, change(4, 4)));
    apply(inEra(1, change(90, 6, true)));
    CHECK_FALSE(apply(inEra(2, change(4, 4))));
    CHECK(draining());
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "apply, copy shows a removed server, adds it only once it has registered again")
{
    apply(inEra(1, change(4, 4)));
    apply(inEra(1, removal(90)));
    CHECK_FALSE(apply(inEra(2, change(4, 4))));
    CHECK_FALSE(inUse());
    CHECK(apply(inEra(2, change(30, 5))));
    CHECK(inUse());
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "apply, removal known from the older era, removes the server that only the copy shows")
{
    apply(inEra(2, change(4, 4)));
    ServerChange gone = inEra(1, removal(90));
    gone.lastStamp = { std::chrono::milliseconds(1000), 6 };
    CHECK(apply(gone));
    CHECK_FALSE(inUse());
    CHECK_FALSE(apply(inEra(2, change(31, 5))));
    CHECK(apply(inEra(2, change(32, 7))));
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "apply, removal of the older era before the server registered again, changes nothing")
{
    apply(inEra(2, change(30, 7)));
    ServerChange gone = inEra(1, removal(90));
    gone.lastStamp = { std::chrono::milliseconds(1000), 6 };
    CHECK_FALSE(apply(gone));
    CHECK(inUse());
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "apply, registration of an older era that the newer one lacks, adds no server")
{
    registry.advanceEnd({ StoreEra { 2 }, LogOffset { 30 } });
    CHECK_FALSE(apply(inEra(1, change(90, 6))));
    CHECK_FALSE(inUse());
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "replace, server registered after the copy, is kept until it has had time to register again")
{
    apply(inEra(1, change(90, 6)));
    const StorePosition end { StoreEra { 2 }, LogOffset { 30 } };
    registry.replace({}, end, StoreHealth::Recovering, clock.now());
    CHECK(registry.end() == end);
    CHECK(inUse());
    apply(inEra(2, change(30, 7)));
    clock.advance(5s);
    registry.removeExpired(StoreHealth::Recovering, clock.now());
    CHECK(inUse());
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "replace, server registered after the copy and not again, is removed")
{
    apply(inEra(1, change(90, 6)));
    registry.replace({}, { StoreEra { 2 }, LogOffset { 30 } }, StoreHealth::Recovering, clock.now());
    apply(inEra(1, change(91, 7)));
    clock.advance(2400ms);
    CHECK(registry.removeExpired(StoreHealth::Recovering, clock.now()));
    CHECK_FALSE(inUse());
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "changesSince, host that has read the copy, is told what only the older era said")
{
    apply(inEra(1, change(4, 4)));
    apply(inEra(1, change(90, 6, true)));
    apply(inEra(2, change(4, 4)));
    registry.advanceEnd({ StoreEra { 2 }, LogOffset { 30 } });
    ServerRegistry other;
    other.apply(inEra(2, change(4, 4)), StoreHealth::Healthy, clock.now());
    other.advanceEnd({ StoreEra { 2 }, LogOffset { 40 } });
    const auto changes = registry.changesSince(other.end(), clock.now());
    REQUIRE(changes);
    REQUIRE(changes->size() == 1);
    other.apply(changes->front(), StoreHealth::Healthy, clock.now());
    CHECK(other.entries().at(BackendServerId("i-1")).registration.draining);
    // Once the server has registered in the newer era, all hosts read so there.
    apply(inEra(2, change(41, 7, true)));
    CHECK(registry.changesSince({ StoreEra { 2 }, LogOffset { 42 } }, clock.now())->empty());
}

TEST_CASE_FIXTURE(ServerRegistryFixture, "apply, pruned removal comes back from another host, is not kept again")
{
    apply(inEra(1, change(4, 4)));
    apply(inEra(1, removal(90)));
    clock.advance(61s);
    registry.removeExpired(StoreHealth::Recovering, clock.now());
    apply(inEra(1, removal(90)));
    CHECK(registry.allServers(clock.now()).empty());
}
