#include "FakePlatform.h"

#include <doctest/doctest.h>

#include <thread>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct LogKeeperFixture {
    ManualClock clock;
    HostSettings settings;
    FakeLog log;
    Journal journal { 64 };
    ConfigurationState state { journal };
    KeyFreshness freshness;
    KeyFreshnessTracker tracker { freshness, 5s, HostId("h0") };
    CheckpointAge checkpointAge;
    FleetMembership membership { HostId("h0"), std::make_unique<FakeHostList>(someHosts(4)), clock };
    std::unique_ptr<LogKeeper> keeper;

    LogKeeperFixture()
    {
        clock.advance(24h);
        settings.id = HostId("h0");
        settings.logRetention = 1h;
        while (membership.hosts().empty())
            std::this_thread::yield();
        keeper = std::make_unique<LogKeeper>(LogKeeperParts { settings, clock, state, tracker, checkpointAge, membership, journal }, std::make_unique<FakeLogService>(log), false);
    }

    void publishFirst()
    {
        log.append(configurationStream, formatConfigurationChange({ "a", "anna", ConfigurationVersion::None, smallConfiguration(1) }));
        state.foldPage(state.readFrom(), log.page(configurationStream, state.readFrom()));
    }

    void step(std::chrono::milliseconds later)
    {
        clock.advance(later);
        tracker.heardLog(clock.now());
        keeper->step();
    }

    std::size_t recordsOf(const char* stream) { return log.streams[stream].records.size(); }
};

} // namespace

TEST_CASE_FIXTURE(LogKeeperFixture, "step, withdrawal told while the log was away, is appended once it answers")
{
    log.away = true;
    state.withdraw({ KeyId("k1") });
    keeper->step();
    CHECK(recordsOf(withdrawalStream) == 0);
    log.away = false;
    step(0ms);
    step(500ms);
    REQUIRE(recordsOf(withdrawalStream) == 1);
    Problems problems;
    CHECK(parseKeyWithdrawal(log.streams[withdrawalStream].records[0], problems)->keys == std::vector { KeyId("k1") });
}

TEST_CASE_FIXTURE(LogKeeperFixture, "step, withdrawal found in the log, is not appended")
{
    state.withdraw({ KeyId("k1") });
    step(0ms);
    const std::size_t before = recordsOf(withdrawalStream);
    state.withdrawLogged({ KeyId("k1") });
    step(10s);
    CHECK(recordsOf(withdrawalStream) == before);
}

TEST_CASE_FIXTURE(LogKeeperFixture, "step, append without an answer, is not repeated at once")
{
    state.withdraw({ KeyId("k1") });
    step(0ms);
    log.answersToLose = 1;
    step(500ms);
    step(100ms);
    CHECK(recordsOf(withdrawalStream) == 1);
}

TEST_CASE_FIXTURE(LogKeeperFixture, "step, last checkpoint half the retention old, writes one with the withdrawn keys")
{
    publishFirst();
    state.withdrawLogged({ KeyId("k1") });
    checkpointAge.seen(clock.now());
    step(10min);
    CHECK(recordsOf(configurationStream) == 1);
    step(20min);
    CHECK(recordsOf(configurationStream) == 2);
    CHECK(recordsOf(withdrawalStream) == 1);
}

TEST_CASE_FIXTURE(LogKeeperFixture, "step, log not heard, writes nothing")
{
    publishFirst();
    clock.advance(2h);
    keeper->step();
    CHECK(log.appends == 0);
}

TEST_CASE_FIXTURE(LogKeeperFixture, "step, own position has expired, writes no checkpoint")
{
    publishFirst();
    log.append(configurationStream, formatConfigurationChange({ "b", "anna", ConfigurationVersion { 1 }, smallConfiguration(2) }));
    log.append(configurationStream, formatConfigurationChange({ "c", "anna", ConfigurationVersion { 2 }, smallConfiguration(3) }));
    log.expireUpTo(configurationStream, 2);
    state.foldPage(state.readFrom(), log.page(configurationStream, state.readFrom()));
    REQUIRE(state.behindGap());
    step(2h);
    CHECK(recordsOf(configurationStream) == 3);
}

TEST_CASE("checkpointDueAt, every rank, lies between a quarter and half of the retention")
{
    const MonotonicTime last { 10h };
    for (std::size_t rank = 0; rank < 430; ++rank) {
        const MonotonicTime due = checkpointDueAt(last, 24h, { rank, 430 });
        CHECK(due >= last + 6h);
        CHECK(due < last + 12h);
    }
}
