#include "FakePlatform.h"

#include <doctest/doctest.h>

#include <set>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct ExchangeFixture {
    ExchangeSchedule schedule;
    LinkTable links;
    ManualClock clock;
    const HostId self { "h0" };

    ExchangeFixture()
    {
        clock.advance(1h);
        updateListedHosts(links, someHosts(4), self, clock.now());
    }

    LinkDirection direction(const char* host) const { return linkDirection(links.at(HostId(host)), clock.now(), 3s); }
    void hear(const char* host, const std::vector<HostId>& unheard, bool leaving = false) { recordHeard(links, HostId(host), self, unheard, leaving, clock.now()); }
};

} // namespace

TEST_CASE_FIXTURE(ExchangeFixture, "nextPartners, as many turns as peers, meets each peer once")
{
    const auto peers = someHosts(12);
    std::set<HostId> met;
    for (int turn = 0; turn < 12; ++turn) {
        for (const Host& host : nextPartners(schedule, peers, 1))
            CHECK(met.insert(host.id).second);
    }
    CHECK(met.size() == 12);
}

TEST_CASE_FIXTURE(ExchangeFixture, "nextPartners, three partners of three zones, one of each zone")
{
    std::set<ZoneId> zones;
    for (const Host& host : nextPartners(schedule, someHosts(12), 3))
        zones.insert(host.zone);
    CHECK(zones.size() == 3);
}

TEST_CASE_FIXTURE(ExchangeFixture, "nextPartners, more asked for than there are, gives each once")
{
    CHECK(nextPartners(schedule, someHosts(2), 5).size() == 2);
    CHECK(nextPartners(schedule, {}, 5).empty());
}

TEST_CASE("partnersFor, log away, is enough to hear half of the hosts within half of the bound")
{
    CHECK(partnerCount(430, true, 5s, 500ms) == 1);
    for (const std::size_t hosts : { 1, 2, 5, 12, 48, 100 }) {
        const std::size_t partners = partnerCount(hosts, false, 5s, 500ms);
        CHECK(partners * 5 >= (hosts + 1) / 2);
    }
}

TEST_CASE_FIXTURE(ExchangeFixture, "directionOf, peer says that it does not hear this host, is incoming only")
{
    hear("h1", { self });
    hear("h2", { HostId("h3") });
    CHECK(direction("h1") == LinkDirection::IncomingOnly);
    CHECK(direction("h2") == LinkDirection::Both);
    hear("h1", {});
    CHECK(direction("h1") == LinkDirection::Both);
}

TEST_CASE_FIXTURE(ExchangeFixture, "directionOf, silent for longer than the bound, is not heard")
{
    hear("h1", {});
    clock.advance(3s + 1ms);
    CHECK(direction("h1") == LinkDirection::NotHeard);
    CHECK(direction("h3") == LinkDirection::NotHeard);
}

TEST_CASE_FIXTURE(ExchangeFixture, "noteHeard, leaving and back again, follows the host's own word")
{
    hear("h1", {}, true);
    CHECK(links.at(HostId("h1")).leaving);
    hear("h1", {}, false);
    CHECK_FALSE(links.at(HostId("h1")).leaving);
}

TEST_CASE_FIXTURE(ExchangeFixture, "updateListed, host no longer listed, is forgotten")
{
    updateListedHosts(links, someHosts(2), self, clock.now());
    CHECK(links.size() == 1);
    hear("h3", {});
    CHECK(links.size() == 1);
}
