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

    double others() const
    {
        const auto uses = aggregator.remoteTotals(clock.now());
        const auto found = uses.find(server);
        return found == uses.end() ? 0 : found->second.inFlight;
    }

    ZoneStats sums(const char* zone, std::size_t hosts, double count) const { return { ZoneId(zone), hosts, clock.now(), inFlight(count) }; }
};

struct FleetDirectoryFixture {
    ManualClock clock;
    const LiveHost other { HostId("other"), ZoneId("a"), { "10.0.0.2", 80 } };
    FleetDirectory directory { LiveHost { HostId("self"), ZoneId("a"), { "10.0.0.1", 80 } } };

    FleetDirectoryFixture() { clock.advance(1h); }
};

} // namespace

TEST_CASE_FIXTURE(StatsAggregatorFixture, "others, own use in the sums of the zone, is not counted")
{
    aggregator.setLocal(inFlight(3), clock.now());
    aggregator.setHost(HostId("b"), inFlight(2), clock.now());
    CHECK(others() == doctest::Approx(2));
}

TEST_CASE_FIXTURE(StatsAggregatorFixture, "others, host that reports twice, is counted once")
{
    aggregator.setHost(HostId("b"), inFlight(2), clock.now());
    aggregator.setHost(HostId("b"), inFlight(4), clock.now());
    CHECK(others() == doctest::Approx(4));
}

TEST_CASE_FIXTURE(StatsAggregatorFixture, "others, host silent for long, is not counted")
{
    aggregator.setHost(HostId("b"), inFlight(2), clock.now());
    clock.advance(2s);
    CHECK(others() == 0);
}

TEST_CASE_FIXTURE(StatsAggregatorFixture, "sumsOf, second relay that heard fewer hosts, does not replace the first")
{
    aggregator.setZoneTotals(sums("b", 10, 7), clock.now());
    clock.advance(100ms);
    aggregator.setZoneTotals(sums("b", 1, 1), clock.now());
    CHECK(others() == doctest::Approx(7));
}

TEST_CASE_FIXTURE(StatsAggregatorFixture, "sumsOf, first relay silent, gives way to the second")
{
    aggregator.setZoneTotals(sums("b", 10, 7), clock.now());
    clock.advance(1700ms);
    aggregator.setZoneTotals(sums("b", 1, 1), clock.now());
    CHECK(others() == doctest::Approx(1));
}

TEST_CASE_FIXTURE(FleetDirectoryFixture, "live, host heard a moment ago, is live until it falls silent")
{
    directory.recordAlive(other, clock.now(), false);
    CHECK(directory.liveHosts(clock.now()).size() == 2);
    clock.advance(5s);
    CHECK(directory.liveHosts(clock.now()).size() == 1);
}

TEST_CASE_FIXTURE(FleetDirectoryFixture, "live, host that announced its stop, is not live")
{
    directory.recordAlive(other, clock.now(), false);
    directory.recordAlive(other, clock.now(), true);
    CHECK(directory.liveHosts(clock.now()).size() == 1);
}

TEST_CASE_FIXTURE(FleetDirectoryFixture, "heard, older news from a third host, does not undo newer")
{
    directory.recordAlive(other, clock.now(), true);
    directory.recordAlive(other, clock.now() - 1s, false);
    CHECK(directory.liveHosts(clock.now()).size() == 1);
}

TEST_CASE_FIXTURE(FleetDirectoryFixture, "failed, host that does not answer, is avoided for a while")
{
    directory.recordAlive(other, clock.now(), false);
    directory.recordCallFailure(other.id, clock.now());
    CHECK(directory.liveHosts(clock.now()).size() == 1);
    directory.recordCallSuccess(other.id);
    CHECK(directory.liveHosts(clock.now()).size() == 2);
}
