#include "FakePlatform.h"

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct KeyFreshnessFixture {
    static constexpr std::chrono::milliseconds bound { 5000 };

    ManualClock clock;
    KeyFreshness freshness;
    KeyFreshnessTracker tracker { freshness, bound, HostId("h0") };
    const std::vector<Host> listed = someHosts(5);

    KeyFreshnessFixture() { clock.advance(1h); }

    bool stale() const { return freshness.isStale(clock.now()); }
    void hear(int peer) { tracker.heardPeer(HostId("h" + std::to_string(peer)), clock.now()); }
};

} // namespace

TEST_CASE_FIXTURE(KeyFreshnessFixture, "stale, nothing heard since the start, is stale")
{
    tracker.refresh(clock.now(), listed);
    CHECK(stale());
}

TEST_CASE_FIXTURE(KeyFreshnessFixture, "stale, log heard, is fresh until the bound has passed")
{
    tracker.heardLog(clock.now());
    CHECK_FALSE(stale());
    clock.advance(bound - 1ms);
    CHECK_FALSE(stale());
    clock.advance(1ms);
    CHECK(stale());
}

TEST_CASE_FIXTURE(KeyFreshnessFixture, "stale, paused for longer than the bound, is stale before anything is heard")
{
    tracker.heardLog(clock.now());
    clock.advance(1h);
    CHECK(stale());
}

TEST_CASE_FIXTURE(KeyFreshnessFixture, "refresh, log away and half of the hosts heard, is fresh")
{
    hear(1);
    tracker.refresh(clock.now(), listed);
    CHECK(stale());
    hear(2);
    tracker.refresh(clock.now(), listed);
    CHECK_FALSE(stale());
}

TEST_CASE_FIXTURE(KeyFreshnessFixture, "refresh, half of the hosts heard at different times, counts from the earliest of them")
{
    hear(1);
    clock.advance(4s);
    hear(2);
    tracker.refresh(clock.now(), listed);
    clock.advance(999ms);
    CHECK_FALSE(stale());
    clock.advance(1ms);
    CHECK(stale());
}

TEST_CASE_FIXTURE(KeyFreshnessFixture, "refresh, unlisted host heard, does not count")
{
    hear(1);
    tracker.heardPeer(HostId("stranger"), clock.now());
    tracker.refresh(clock.now(), listed);
    CHECK(stale());
}

TEST_CASE_FIXTURE(KeyFreshnessFixture, "refresh, list of hosts unknown, only the log counts")
{
    hear(1);
    hear(2);
    tracker.refresh(clock.now(), {});
    CHECK(stale());
}

TEST_CASE_FIXTURE(KeyFreshnessFixture, "keysAreStale, snapshot without freshness, is stale")
{
    CHECK(keysAreStale(FleetSnapshot {}, clock.now()));
}
