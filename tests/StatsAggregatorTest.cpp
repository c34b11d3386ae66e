#include <lacewingsail/Exchange.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

const BackendServerId server("i-1");

ServerStatsMap inFlight(double count) { return { { server, { count, 0, 0, 0 } } }; }

struct StatsAggregatorFixture {
    ManualClock clock;
    StatsAggregator aggregator { HostId("self"), ZoneId("a") };

    StatsAggregatorFixture() { clock.advance(1h); }

    double remoteInFlight() const
    {
        const auto stats = aggregator.remoteTotals(clock.now());
        const auto found = stats.find(server);
        return found == stats.end() ? 0 : found->second.inFlight;
    }

    ZoneStats totals(const char* zone, std::size_t hosts, double count) const { return { ZoneId(zone), hosts, clock.now(), inFlight(count) }; }
};

struct FleetDirectoryFixture {
    ManualClock clock;
    const LiveHost other { HostId("other"), ZoneId("a"), { "10.0.0.2", 80 } };
    FleetDirectory directory { LiveHost { HostId("self"), ZoneId("a"), { "10.0.0.1", 80 } } };

    FleetDirectoryFixture() { clock.advance(1h); }
};

} // namespace

TEST_CASE_FIXTURE(StatsAggregatorFixture, "remoteTotals, own statistics in the totals of the zone, are not counted")
{
    aggregator.setLocal(inFlight(3), clock.now());
    aggregator.setHost(HostId("b"), inFlight(2), clock.now());
    CHECK(remoteInFlight() == doctest::Approx(2));
}

TEST_CASE_FIXTURE(StatsAggregatorFixture, "remoteTotals, host that reports twice, is counted once")
{
    aggregator.setHost(HostId("b"), inFlight(2), clock.now());
    aggregator.setHost(HostId("b"), inFlight(4), clock.now());
    CHECK(remoteInFlight() == doctest::Approx(4));
}

TEST_CASE_FIXTURE(StatsAggregatorFixture, "remoteTotals, host silent for long, is not counted")
{
    aggregator.setHost(HostId("b"), inFlight(2), clock.now());
    clock.advance(2s);
    CHECK(remoteInFlight() == 0);
}

TEST_CASE_FIXTURE(StatsAggregatorFixture, "setZoneTotals, second relay with fewer hosts, does not replace the first")
{
    aggregator.setZoneTotals(totals("b", 10, 7), clock.now());
    clock.advance(100ms);
    aggregator.setZoneTotals(totals("b", 1, 1), clock.now());
    CHECK(remoteInFlight() == doctest::Approx(7));
}

TEST_CASE_FIXTURE(StatsAggregatorFixture, "setZoneTotals, first relay silent, is replaced by the second")
{
    aggregator.setZoneTotals(totals("b", 10, 7), clock.now());
    clock.advance(1700ms);
    aggregator.setZoneTotals(totals("b", 1, 1), clock.now());
    CHECK(remoteInFlight() == doctest::Approx(1));
}

TEST_CASE_FIXTURE(FleetDirectoryFixture, "liveHosts, host alive a moment ago, is live until it falls silent")
{
    directory.recordAlive(other, clock.now(), clock.now() - 1min, false);
    CHECK(directory.liveHosts(clock.now()).size() == 2);
    clock.advance(5s);
    CHECK(directory.liveHosts(clock.now()).size() == 1);
}

TEST_CASE_FIXTURE(FleetDirectoryFixture, "liveHosts, host that announced its stop, is not live")
{
    directory.recordAlive(other, clock.now(), clock.now() - 1min, false);
    directory.recordAlive(other, clock.now(), clock.now() - 1min, true);
    CHECK(directory.liveHosts(clock.now()).size() == 1);
}

TEST_CASE_FIXTURE(FleetDirectoryFixture, "recordAlive, older report from a third host, does not replace a newer one")
{
    directory.recordAlive(other, clock.now(), clock.now() - 1min, true);
    directory.recordAlive(other, clock.now() - 1s, clock.now() - 1min, false);
    CHECK(directory.liveHosts(clock.now()).size() == 1);
}

TEST_CASE_FIXTURE(FleetDirectoryFixture, "recordCallFailure, host that does not answer, is avoided for a while")
{
    directory.recordAlive(other, clock.now(), clock.now() - 1min, false);
    directory.recordCallFailure(other.id, clock.now());
    CHECK(directory.liveHosts(clock.now()).size() == 1);
    directory.recordCallSuccess(other.id);
    CHECK(directory.liveHosts(clock.now()).size() == 2);
}
