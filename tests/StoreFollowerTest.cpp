#include <lacewingsail/Discovery.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

/// \brief A store whose answers the test gives by hand.
class ScriptedLog final : public RecordStore {
public:
    struct Call {
        RecordStream stream;
        bool readLatest = false;
        LogOffset from {};
        ReadCallback callback;
    };

    void read(RecordStream stream, LogOffset from, std::chrono::milliseconds, ReadCallback callback) override { calls.push_back({ stream, false, from, std::move(callback) }); }
    void readLatest(RecordStream stream, ReadCallback callback) override { calls.push_back({ stream, true, {}, std::move(callback) }); }
    void append(RecordStream, std::string, std::string, std::function<void(ResultCode)>) override { }

    std::deque<Call> calls;
};

struct StoreFollowerFixture {
    ManualClock clock;
    ScriptedLog store;
    ActiveConfiguration active { [](const std::string& text) -> std::optional<PublishedConfiguration> {
        if (text.empty() || text.front() != 'v')
            return std::nullopt;
        PublishedConfiguration published;
        published.version = ConfigurationVersion { std::stoull(text.substr(1)) };
        return published;
    } };
    ServerRegistry registry;
    int changes = 0;
    StoreFollower follower { store, active, registry, [](const BackendServerId& id, const std::string& text) -> std::optional<RegisteredServer> {
                                if (text != "ready")
                                    return std::nullopt;
                                RegisteredServer server;
                                server.id = id;
                                return server; },
        clock, [this] { ++changes; } };

    StoreFollowerFixture() { clock.advance(1h); }

    // Answers the oldest call of a stream.
    void answer(RecordStream stream, StoreReadResult reading)
    {
        const auto found = std::ranges::find_if(store.calls, [&](const auto& call) { return call.stream == stream; });
        REQUIRE(found != store.calls.end());
        const auto callback = std::move(found->callback);
        store.calls.erase(found);
        callback(std::move(reading));
    }

    std::size_t callsOf(RecordStream stream) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(store.calls, [&](const auto& call) { return call.stream == stream; }));
    }

    void begin()
    {
        follower.tick(StoreReaderRole::Standby);
        answer(RecordStream::Configuration, { ResultCode::Ok, { { LogOffset { 0 }, "config", "v3" } }, LogOffset { 1 } });
        answer(RecordStream::Servers, { ResultCode::Ok, { { LogOffset { 4 }, "i-1", "ready" } }, LogOffset { 5 } });
    }
};

} // namespace

TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, first reading, takes configuration and servers over")
{
    begin();
    CHECK(active.version() == ConfigurationVersion { 3 });
    CHECK(registry.entries().size() == 1);
    CHECK(registry.endOffset() == LogOffset { 5 });
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, listener that hears fresh news, does not read")
{
    begin();
    for (int step = 0; step < 50; ++step) {
        clock.advance(100ms);
        follower.recordFreshness(clock.now() - 300ms, clock.now() - 300ms);
        follower.tick(StoreReaderRole::Standby);
    }
    CHECK(store.calls.empty());
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "tick, listener that hears nothing, reads in time for the bound of 2 s")
{
    begin();
    clock.advance(1300ms);
    follower.tick(StoreReaderRole::Standby);
    CHECK(callsOf(RecordStream::Servers) == 1);
    clock.advance(200ms);
    follower.tick(StoreReaderRole::Standby);
    CHECK(callsOf(RecordStream::Configuration) == 1);
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "take, older configuration comes late, stays out of force")
{
    begin();
    follower.tick(StoreReaderRole::Primary);
    answer(RecordStream::Configuration, { ResultCode::Ok, { { LogOffset { 1 }, "config", "v2" } }, LogOffset { 2 } });
    CHECK(active.version() == ConfigurationVersion { 3 });
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "take, history forgotten, reads the newest records again")
{
    begin();
    follower.tick(StoreReaderRole::Primary);
    answer(RecordStream::Configuration, { ResultCode::CheckpointMissing, {}, {} });
    follower.tick(StoreReaderRole::Primary);
    REQUIRE(callsOf(RecordStream::Configuration) == 1);
    CHECK(store.calls.back().readLatest);
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "take, store away, retries at most once a second")
{
    begin();
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

TEST_CASE_FIXTURE(StoreFollowerFixture, "take, server's entry gone while only this host was refused, drops the server at once")
{
    begin();
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

TEST_CASE_FIXTURE(StoreFollowerFixture, "take, server's entry gone right after an outage, keeps the server for a while")
{
    begin();
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

TEST_CASE_FIXTURE(StoreFollowerFixture, "take, entry by another writer, names no server")
{
    begin();
    clock.advance(500ms);
    follower.tick(StoreReaderRole::Primary);
    answer(RecordStream::Servers, { ResultCode::Ok, { { LogOffset { 5 }, "i-2", "nonsense" } }, LogOffset { 6 } });
    CHECK(registry.entries().size() == 1);
    CHECK(registry.entries().contains(BackendServerId("i-1")));
}
