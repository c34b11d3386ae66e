#include "ScriptedStore.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

const ZoneId zone("a");

ZoneEvacuation began(std::uint64_t era, std::uint64_t offset) { return { zone, { StoreEra { era }, LogOffset { offset } }, false }; }
ZoneEvacuation ended(std::uint64_t era, std::uint64_t offset) { return { zone, { StoreEra { era }, LogOffset { offset } }, true }; }

Evacuations knowing(std::initializer_list<ZoneEvacuation> records)
{
    Evacuations evacuations;
    for (const ZoneEvacuation& record : records)
        evacuations.apply(record);
    return evacuations;
}

/// \brief A host that follows the store; the test answers its reads.
struct FollowingHost {
    ManualClock clock;
    ScriptedStore store;
    ActiveConfiguration active { [](const std::string& text) -> std::optional<PublishedConfiguration> {
                                    PublishedConfiguration published;
                                    published.version = ConfigurationVersion { std::stoull(text) };
                                    return published;
                                },
        clock };
    ServerRegistry registry;
    /// Whether the zone was evacuated when a change was reported for the first time.
    std::optional<bool> evacuatedAtFirstChange;
    StoreFollower follower { store, active, registry, [](const BackendServerId&, const std::string&) { return std::nullopt; }, clock, [this] {
                                if (!evacuatedAtFirstChange)
                                    evacuatedAtFirstChange = registry.evacuations().isEvacuated(zone); } };

    FollowingHost() { clock.advance(1h); }

    static KeyedRecord configuration(std::uint64_t offset, const std::string& text) { return { LogOffset { offset }, "config", text }; }
    static KeyedRecord evacuation(std::uint64_t offset, std::optional<std::string> value, bool malformed = false, const std::string& name = "a")
    {
        return { LogOffset { offset }, "evacuate/" + name, std::move(value), EvacuationKey { ZoneId(name), malformed } };
    }

    // Answers the pending read of the configuration.
    void answer(std::vector<KeyedRecord> records, std::uint64_t end, std::uint64_t era = 1)
    {
        follower.tick(StoreReaderRole::Primary);
        const auto found = std::ranges::find_if(store.calls, [](const auto& call) { return call.stream == RecordStream::Configuration; });
        REQUIRE(found != store.calls.end());
        const auto callback = std::move(found->callback);
        store.calls.erase(found);
        callback({ ResultCode::Ok, std::move(records), LogOffset { end }, StoreEra { era } });
    }

    // The next read is of the newest records of all keys.
    void loseHistory()
    {
        follower.tick(StoreReaderRole::Primary);
        const auto found = std::ranges::find_if(store.calls, [](const auto& call) { return call.stream == RecordStream::Configuration; });
        REQUIRE(found != store.calls.end());
        const auto callback = std::move(found->callback);
        store.calls.erase(found);
        callback({ ResultCode::CheckpointMissing, {}, {}, StoreEra { 1 } });
    }

    bool evacuated() const { return registry.evacuations().isEvacuated(zone); }
};

RegisteredServer serverOf(const std::string& id, const std::string& zoneName)
{
    RegisteredServer server;
    server.id = BackendServerId(id);
    server.service = ServiceId("desk");
    server.zone = ZoneId(zoneName);
    server.endpoint = { "10.0.1.1", 80 };
    server.slots = SlotCount { 2 };
    server.heartbeat = 1;
    return server;
}

void add(ServerRegistry& registry, const std::string& id, const std::string& zoneName, std::uint64_t offset, MonotonicTime now)
{
    RegisteredServer server = serverOf(id, zoneName);
    server.heartbeat = offset;
    registry.apply(ServerChange { server.id, { {}, LogOffset { offset } }, server, std::nullopt }, StoreHealth::Healthy, now);
}

} // namespace

TEST_CASE("Evacuations, records in any order, the newest holds")
{
    Evacuations evacuations;
    CHECK(evacuations.apply(began(1, 10)) == EvacuationChange::Began);
    CHECK(evacuations.isEvacuated(zone));
    CHECK_FALSE(evacuations.isEvacuated(ZoneId("b")));
    CHECK(evacuations.apply(began(1, 10)) == EvacuationChange::None);
    CHECK(evacuations.apply(ended(1, 12)) == EvacuationChange::Ended);
    // Late copies of both messages.
    CHECK(evacuations.apply(began(1, 10)) == EvacuationChange::None);
    CHECK(evacuations.apply(ended(1, 12)) == EvacuationChange::None);
    CHECK_FALSE(evacuations.isEvacuated(zone));
    CHECK(evacuations.apply(began(1, 13)) == EvacuationChange::Began);
    CHECK(evacuations.apply(ended(1, 12)) == EvacuationChange::None);
    CHECK(evacuations.isEvacuated(zone));
}

TEST_CASE("Evacuations, all orders of delivery, some twice, end in the same state")
{
    const std::vector<ZoneEvacuation> records { began(1, 3), ended(1, 5), began(1, 8), ended(2, 6), began(2, 7) };
    std::vector<std::size_t> order { 0, 1, 2, 3, 4 };
    do {
        Evacuations evacuations;
        for (const std::size_t index : order)
            evacuations.apply(records[index]);
        for (const std::size_t index : order)
            CHECK(evacuations.apply(records[index]) == EvacuationChange::None);
        CHECK(evacuations.records() == std::vector { began(2, 7) });
    } while (std::ranges::next_permutation(order).found);
}

TEST_CASE("Evacuations, end is heard before the beginning, stays ended")
{
    Evacuations evacuations = knowing({ ended(1, 12) });
    CHECK(evacuations.apply(began(1, 10)) == EvacuationChange::None);
    CHECK_FALSE(evacuations.isEvacuated(zone));
}

TEST_CASE("Evacuations, copy of the store shows an ended one, stays ended also on hosts that know only the copy")
{
    Evacuations evacuations = knowing({ began(1, 10), ended(1, 12) });
    CHECK(evacuations.apply(began(2, 10)) == EvacuationChange::None);
    Evacuations other = knowing({ began(2, 10) });
    for (const ZoneEvacuation& record : evacuations.records())
        CHECK(other.apply(record) == EvacuationChange::Ended);
    for (const ZoneEvacuation& record : other.records())
        CHECK(evacuations.apply(record) == EvacuationChange::None);
    // The next copy shows it once more.
    CHECK(evacuations.apply(began(3, 10)) == EvacuationChange::None);
    CHECK_FALSE(evacuations.isEvacuated(zone));
}

TEST_CASE("Evacuations, newer era has another beginning, evacuates again")
{
    Evacuations evacuations = knowing({ began(1, 10), ended(1, 12) });
    CHECK(evacuations.apply(began(2, 11)) == EvacuationChange::Began);
    CHECK(evacuations.isEvacuated(zone));
}

TEST_CASE("Evacuations, copy lacks an active one, stays active until a record of the newer era")
{
    Evacuations evacuations = knowing({ began(1, 10) });
    CHECK(evacuations.missingFrom({}, { StoreEra { 2 }, LogOffset { 30 } }).empty());
    CHECK(evacuations.apply(ended(1, 9)) == EvacuationChange::None);
    CHECK(evacuations.isEvacuated(zone));
    CHECK(evacuations.apply(ended(2, 9)) == EvacuationChange::Ended);
    CHECK(evacuations.apply(began(1, 20)) == EvacuationChange::None);
}

TEST_CASE("Evacuations, snapshot of the same era lacks an active one, has ended before the snapshot's end")
{
    Evacuations evacuations = knowing({ began(1, 10) });
    const StorePosition end { StoreEra { 1 }, LogOffset { 20 } };
    CHECK(evacuations.missingFrom(std::vector { zone }, end).empty());
    const auto ends = evacuations.missingFrom({}, end);
    REQUIRE(ends.size() == 1);
    CHECK(ends.front() == ended(1, 19));
    CHECK(evacuations.apply(ends.front()) == EvacuationChange::Ended);
    CHECK(evacuations.missingFrom({}, end).empty());
    // The first record after the snapshot.
    CHECK(evacuations.apply(began(1, 20)) == EvacuationChange::Began);
    // A snapshot that was read before does not end it.
    CHECK(evacuations.missingFrom({}, end).empty());
}

TEST_CASE("Evacuations, more zones than can be kept, forgets ended ones only")
{
    Evacuations evacuations;
    const auto numbered = [](std::size_t index, bool isEnd) { return ZoneEvacuation { ZoneId("z" + std::to_string(index)), { {}, LogOffset { index } }, isEnd }; };
    for (std::size_t index = 0; index < Evacuations::maxZones; ++index)
        evacuations.apply(numbered(index, index == 5));
    CHECK(evacuations.apply(numbered(100, false)) == EvacuationChange::Began);
    CHECK(evacuations.records().size() == Evacuations::maxZones);
    CHECK(evacuations.apply(numbered(101, false)) == EvacuationChange::Refused);
    for (std::size_t index = 0; index < Evacuations::maxZones; ++index)
        CHECK(evacuations.isEvacuated(ZoneId("z" + std::to_string(index))) == (index != 5));
}

TEST_CASE_FIXTURE(FollowingHost, "StoreFollower, first read shows an evacuation, is known when the configuration is")
{
    answer({ configuration(3, "1"), evacuation(4, "{}") }, 5);
    CHECK(evacuatedAtFirstChange == true);
    CHECK(active.version() == ConfigurationVersion { 1 });
}

TEST_CASE_FIXTURE(FollowingHost, "StoreFollower, evacuation and configuration in one read, applies both, and the end")
{
    answer({ configuration(3, "1") }, 4);
    answer({ evacuation(4, "{}"), configuration(5, "2") }, 6);
    CHECK(evacuated());
    CHECK(active.version() == ConfigurationVersion { 2 });
    answer({ evacuation(6, std::nullopt) }, 7);
    CHECK_FALSE(evacuated());
}

TEST_CASE_FIXTURE(FollowingHost, "StoreFollower, end was not read before its record expired, follows from the newest records")
{
    answer({ configuration(3, "1"), evacuation(4, "{}") }, 5);
    loseHistory();
    answer({ configuration(3, "1") }, 9);
    CHECK_FALSE(evacuated());
}

TEST_CASE_FIXTURE(FollowingHost, "StoreFollower, store comes back from a copy without the evacuation, keeps it until it is taken back")
{
    answer({ configuration(3, "1"), evacuation(4, "{}") }, 5);
    follower.recordEra(StoreEra { 2 }, "other");
    answer({ configuration(3, "1") }, 4, 2);
    CHECK(evacuated());
    answer({ evacuation(4, std::nullopt) }, 5, 2);
    CHECK_FALSE(evacuated());
}

TEST_CASE_FIXTURE(FollowingHost, "StoreFollower, malformed records, last valid state holds")
{
    answer({ configuration(3, "1"), evacuation(4, "{}"), evacuation(5, "{}", false, ""), evacuation(6, "{}", false, "a b") }, 7);
    CHECK(evacuated());
    CHECK(registry.evacuations().records().size() == 1);
    answer({ evacuation(7, "nonsense", true) }, 8);
    CHECK(evacuated());
    loseHistory();
    answer({ configuration(3, "1"), evacuation(7, "nonsense", true) }, 8);
    CHECK(evacuated());
}

TEST_CASE("ServerRegistry, zone evacuated, its servers accept no requests until the end")
{
    ManualClock clock;
    ServerRegistry registry;
    CHECK(registry.apply(began(1, 10), "store", clock.now()));
    CHECK_FALSE(registry.apply(began(1, 10), "store", clock.now()));
    CHECK_FALSE(registry.acceptsRequests(serverOf("i-1", "a")));
    CHECK(registry.acceptsRequests(serverOf("i-2", "b")));
    CHECK(registry.apply(ended(1, 11), "store", clock.now()));
    CHECK(registry.acceptsRequests(serverOf("i-1", "a")));
}

TEST_CASE("ServerRegistry, evacuation ended, its servers count as cold for a while although their heartbeats say otherwise")
{
    ManualClock clock;
    clock.advance(1h);
    ServerRegistry registry;
    add(registry, "i-1", "a", 1, clock.now());
    add(registry, "i-2", "b", 2, clock.now());
    registry.apply(began(0, 10), "store", clock.now());
    registry.apply(ended(0, 11), "store", clock.now());
    const auto isCold = [&](const char* id) { return clock.now() < registry.entries().at(BackendServerId(id)).warmupEndsAt; };
    CHECK(isCold("i-1"));
    CHECK_FALSE(isCold("i-2"));
    clock.advance(500ms);
    add(registry, "i-1", "a", 3, clock.now());
    CHECK(isCold("i-1"));
    clock.advance(1h);
    CHECK_FALSE(isCold("i-1"));
    add(registry, "i-1", "a", 4, clock.now());
    CHECK_FALSE(isCold("i-1"));
}
