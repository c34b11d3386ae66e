#include "ScriptedStore.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct StoreFollowerFixture {
    ManualClock clock;
    ScriptedStore store;
    ActiveConfiguration active { [](const std::string& text) -> std::optional<PublishedConfiguration> {
                                    if (text.empty() || text.front() != 'v')
                                        return std::nullopt;
                                    PublishedConfiguration published;
                                    published.version = ConfigurationVersion { std::stoull(text.substr(1)) };
                                    return published;
                                },
        clock };
    ServerRegistry registry;
    int changes = 0;
    StoreFollower follower { store, active, registry, [](const BackendServerId& id, const std::string& text) -> std::optional<RegisteredServer> {
                                if (text != "ready")
                                    return std::nullopt;
                                RegisteredServer server;
                                server.id = id;
                                server.service = ServiceId("desk");
                                server.zone = ZoneId("a");
                                server.endpoint = { "10.0.0.1", 80 };
                                server.heartbeat = 1;
                                return server; },
        clock, [this] { ++changes; } };

    StoreFollowerFixture() { clock.advance(1h); }

    // Answers the oldest pending call of a stream.
    void answer(RecordStream stream, StoreReadResult result)
    {
        const auto found = std::ranges::find_if(store.calls, [&](const auto& call) { return call.stream == stream; });
        REQUIRE(found != store.calls.end());
        const auto callback = std::move(found->callback);
        store.calls.erase(found);
        callback(std::move(result));
    }

    std::size_t callCount(RecordStream stream) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(store.calls, [&](const auto& call) { return call.stream == stream; }));
    }

    static StoreReadResult inEra(std::uint64_t era, StoreReadResult result)
    {
        result.era = StoreEra { era };
        return result;
    }

    const auto& nextCall(RecordStream stream)
    {
        const auto found = std::ranges::find_if(store.calls, [&](const auto& call) { return call.stream == stream; });
        REQUIRE(found != store.calls.end());
        return *found;
    }

    void readInitialStateOfFirstEra()
    {
        follower.tick(StoreReaderRole::Standby);
        answer(RecordStream::Configuration, inEra(1, { ResultCode::Ok, { { LogOffset { 0 }, "config", "v3" } }, LogOffset { 1 } }));
        answer(RecordStream::Servers, inEra(1, { ResultCode::Ok, { { LogOffset { 4 }, "i-1", "ready" } }, LogOffset { 5 } }));
        clock.advance(500ms);
        follower.tick(StoreReaderRole::Primary);
    }

    void readInitialState()
    {
        follower.tick(StoreReaderRole::Standby);
        answer(RecordStream::Configuration, { ResultCode::Ok, { { LogOffset { 0 }, "config", "v3" } }, LogOffset { 1 } });
        answer(RecordStream::Servers, { ResultCode::Ok, { { LogOffset { 4 }, "i-1", "ready" } }, LogOffset { 5 } });
    }
};

} // namespace

TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, first read, applies configuration and servers")
{
    readInitialState();
    CHECK(active.version() == ConfigurationVersion { 3 });
    CHECK(registry.entries().size() == 1);
    CHECK(registry.end() == StorePosition { {}, LogOffset { 5 } });
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, standby with fresh state from other hosts, does not read")
{
    readInitialState();
    for (int step = 0; step < 50; ++step) {
        clock.advance(100ms);
        follower.recordFreshness(clock.now() - 300ms, clock.now() - 300ms);
        follower.tick(StoreReaderRole::Standby);
    }
    CHECK(store.calls.empty());
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, standby without state from other hosts, reads in time for the bound of 2 s")
{
    readInitialState();
    clock.advance(1300ms);
    follower.tick(StoreReaderRole::Standby);
    CHECK(callCount(RecordStream::Servers) == 1);
    clock.advance(200ms);
    follower.tick(StoreReaderRole::Standby);
    CHECK(callCount(RecordStream::Configuration) == 1);
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, older configuration arrives late, is not activated")
{
    readInitialState();
    follower.tick(StoreReaderRole::Primary);
    answer(RecordStream::Configuration, { ResultCode::Ok, { { LogOffset { 1 }, "config", "v2" } }, LogOffset { 2 } });
    CHECK(active.version() == ConfigurationVersion { 3 });
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, records deleted by the store, reads the latest records again")
{
    readInitialState();
    follower.tick(StoreReaderRole::Primary);
    answer(RecordStream::Configuration, { ResultCode::CheckpointMissing, {}, {} });
    follower.tick(StoreReaderRole::Primary);
    REQUIRE(callCount(RecordStream::Configuration) == 1);
    CHECK(store.calls.back().readLatest);
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, store unavailable, retries at most once a second")
{
    readInitialState();
    int calls = 0;
    for (int step = 0; step < 100; ++step) {
        clock.advance(100ms);
        follower.tick(StoreReaderRole::Primary);
        while (!store.calls.empty()) {
            ++calls;
            answer(store.calls.front().stream, { ResultCode::LogUnavailable, {}, {} });
        }
    }
    CHECK(calls <= 2 * (10 + 4));
    CHECK(calls >= 2 * 9);
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, registration deleted while the store refused only this host, removes the server at once")
{
    readInitialState();
    for (int step = 0; step < 30; ++step) {
        clock.advance(100ms);
        follower.recordFreshness(clock.now() - 500ms, clock.now() - 500ms);
        follower.tick(StoreReaderRole::Primary);
        while (!store.calls.empty())
            answer(store.calls.front().stream, { ResultCode::LogUnavailable, {}, {} });
    }
    clock.advance(1s);
    follower.tick(StoreReaderRole::Primary);
    answer(RecordStream::Servers, { ResultCode::Ok, { { LogOffset { 5 }, "i-1", std::nullopt } }, LogOffset { 6 } });
    CHECK(registry.entries().empty());
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, registration deleted right after an outage, keeps the server for a while")
{
    readInitialState();
    for (int step = 0; step < 30; ++step) {
        clock.advance(100ms);
        follower.tick(StoreReaderRole::Primary);
        while (!store.calls.empty())
            answer(store.calls.front().stream, { ResultCode::LogUnavailable, {}, {} });
    }
    clock.advance(1s);
    follower.tick(StoreReaderRole::Primary);
    answer(RecordStream::Servers, { ResultCode::Ok, { { LogOffset { 5 }, "i-1", std::nullopt } }, LogOffset { 6 } });
    CHECK(registry.entries().size() == 1);
    clock.advance(2400ms);
    follower.tick(StoreReaderRole::Primary);
    CHECK(registry.entries().empty());
}

// The first state that a host learns does not end an outage: a server whose registration was deleted next would get requests for
// longer than a draining server may.
TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, registration deleted right after the first read, removes the server at once")
{
    readInitialState();
    CHECK(follower.storeHealth() == StoreHealth::Healthy);
    clock.advance(500ms);
    follower.tick(StoreReaderRole::Primary);
    answer(RecordStream::Servers, { ResultCode::Ok, { { LogOffset { 5 }, "i-1", std::nullopt } }, LogOffset { 6 } });
    CHECK(registry.entries().empty());
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "recordFreshness, first state comes from another host, store counts as healthy")
{
    follower.tick(StoreReaderRole::Standby);
    clock.advance(300ms);
    follower.recordFreshness(clock.now() - 100ms, clock.now() - 100ms);
    CHECK(follower.storeHealth() == StoreHealth::Healthy);
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, registration deleted right after a start during an outage, keeps the server for a while")
{
    for (int step = 0; step < 30; ++step) {
        follower.tick(StoreReaderRole::Primary);
        while (!store.calls.empty())
            answer(store.calls.front().stream, { ResultCode::LogUnavailable, {}, {} });
        clock.advance(100ms);
    }
    clock.advance(1s);
    readInitialState();
    clock.advance(500ms);
    follower.tick(StoreReaderRole::Primary);
    answer(RecordStream::Servers, { ResultCode::Ok, { { LogOffset { 5 }, "i-1", std::nullopt } }, LogOffset { 6 } });
    CHECK(registry.entries().size() == 1);
}

// Servers have a fixed time after the store's return to renew their registrations, however late a registration is deleted.
TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, registration deleted late in the recovery after an outage, server is gone when the recovery ends")
{
    readInitialState();
    clock.advance(3s);
    follower.tick(StoreReaderRole::Primary);
    answer(RecordStream::Servers, { ResultCode::Ok, {}, LogOffset { 5 } });
    for (int step = 0; step < 4; ++step) {
        clock.advance(500ms);
        follower.tick(StoreReaderRole::Primary);
        answer(RecordStream::Servers, { ResultCode::Ok, {}, LogOffset { 5 } });
    }
    REQUIRE(follower.storeHealth() == StoreHealth::Recovering);
    clock.advance(450ms);
    follower.tick(StoreReaderRole::Primary);
    answer(RecordStream::Servers, { ResultCode::Ok, { { LogOffset { 5 }, "i-1", std::nullopt } }, LogOffset { 6 } });
    CHECK(registry.entries().size() == 1);
    clock.advance(100ms);
    follower.tick(StoreReaderRole::Primary);
    CHECK(follower.storeHealth() == StoreHealth::Healthy);
    CHECK(registry.entries().empty());
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, record of another writer, adds no server")
{
    readInitialState();
    clock.advance(500ms);
    follower.tick(StoreReaderRole::Primary);
    answer(RecordStream::Servers, { ResultCode::Ok, { { LogOffset { 5 }, "i-2", "nonsense" } }, LogOffset { 6 } });
    CHECK(registry.entries().size() == 1);
    CHECK(registry.entries().contains(BackendServerId("i-1")));
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, answer of a newer era, reads both streams in full and applies no record of the answer")
{
    readInitialStateOfFirstEra();
    answer(RecordStream::Servers, inEra(2, { ResultCode::Ok, { { LogOffset { 5 }, "i-2", "ready" } }, LogOffset { 6 } }));
    CHECK_FALSE(registry.entries().contains(BackendServerId("i-2")));
    follower.tick(StoreReaderRole::Primary);
    CHECK(nextCall(RecordStream::Servers).readLatest);
    answer(RecordStream::Configuration, inEra(2, { ResultCode::Ok, { { LogOffset { 1 }, "config", "v9" } }, LogOffset { 2 } }));
    follower.tick(StoreReaderRole::Primary);
    CHECK(nextCall(RecordStream::Configuration).readLatest);
    answer(RecordStream::Configuration, inEra(2, { ResultCode::Ok, { { LogOffset { 0 }, "config", "v4" } }, LogOffset { 1 } }));
    CHECK(active.version() == ConfigurationVersion { 4 });
    answer(RecordStream::Servers, inEra(2, { ResultCode::Ok, { { LogOffset { 3 }, "i-2", "ready" } }, LogOffset { 4 } }));
    CHECK(registry.end() == StorePosition { StoreEra { 2 }, LogOffset { 4 } });
    CHECK(registry.entries().size() == 2);
    clock.advance(500ms);
    follower.tick(StoreReaderRole::Primary);
    CHECK_FALSE(nextCall(RecordStream::Servers).readLatest);
    CHECK(nextCall(RecordStream::Servers).from == LogOffset { 4 });
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, refusal of a newer era, reads in full")
{
    readInitialStateOfFirstEra();
    answer(RecordStream::Servers, inEra(2, { ResultCode::LogUnavailable, {}, {} }));
    CHECK(follower.era() == StoreEra { 2 });
    clock.advance(1s);
    follower.tick(StoreReaderRole::Primary);
    CHECK(nextCall(RecordStream::Servers).readLatest);
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, answer of an older era arrives late, is dropped and read again after a delay")
{
    readInitialStateOfFirstEra();
    follower.recordEra(StoreEra { 2 }, "other");
    answer(RecordStream::Configuration, inEra(1, { ResultCode::Ok, { { LogOffset { 1 }, "config", "v9" } }, LogOffset { 2 } }));
    CHECK(active.version() == ConfigurationVersion { 3 });
    follower.tick(StoreReaderRole::Primary);
    CHECK(callCount(RecordStream::Configuration) == 0);
    clock.advance(200ms);
    follower.tick(StoreReaderRole::Primary);
    CHECK(nextCall(RecordStream::Configuration).readLatest);
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "recordEra, newer era told by another host, keeps servers that the copy lacks for a while")
{
    readInitialStateOfFirstEra();
    CHECK(follower.storeHealth() == StoreHealth::Healthy);
    follower.recordEra(StoreEra { 2 }, "other");
    CHECK(follower.storeHealth() == StoreHealth::Recovering);
    answer(RecordStream::Servers, inEra(2, { ResultCode::CheckpointMissing, {}, {} }));
    follower.tick(StoreReaderRole::Primary);
    answer(RecordStream::Servers, inEra(2, { ResultCode::Ok, {}, LogOffset { 3 } }));
    CHECK(registry.entries().size() == 1);
    clock.advance(2400ms);
    follower.tick(StoreReaderRole::Primary);
    CHECK(registry.entries().empty());
}
