#include "FakePlatform.h"

#include <doctest/doctest.h>

#include <set>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct ExchangeScheduleFixture {
    ExchangeSchedule schedule;
    LinkTable links;
    ManualClock clock;
    const HostId self { "h0" };

    ExchangeScheduleFixture()
    {
        clock.advance(1h);
        updateListedHosts(links, someHosts(4), self, clock.now());
    }

    LinkDirection direction(const char* host) const { return linkDirection(links.at(HostId(host)), clock.now(), 3s); }
    void receiveFrom(const char* host, const std::vector<HostId>& unheard, bool leaving = false) { recordHeard(links, HostId(host), self, unheard, leaving, clock.now()); }
};

} // namespace

TEST_CASE_FIXTURE(ExchangeScheduleFixture, "nextPartners, as many turns as peers, returns each peer once")
{
    const auto peers = someHosts(12);
    std::set<HostId> seen;
    for (int turn = 0; turn < 12; ++turn) {
        for (const Host& host : nextPartners(schedule, peers, 1))
            CHECK(seen.insert(host.id).second);
    }
    CHECK(seen.size() == 12);
}

TEST_CASE_FIXTURE(ExchangeScheduleFixture, "nextPartners, three partners in three zones, returns one of each zone")
{
    std::set<ZoneId> zones;
    for (const Host& host : nextPartners(schedule, someHosts(12), 3))
        zones.insert(host.zone);
    CHECK(zones.size() == 3);
}

TEST_CASE_FIXTURE(ExchangeScheduleFixture, "nextPartners, more requested than there are, returns each once")
{
    CHECK(nextPartners(schedule, someHosts(2), 5).size() == 2);
    CHECK(nextPartners(schedule, {}, 5).empty());
}

TEST_CASE("partnerCount, log unavailable, is enough to hear half of the hosts within half of the bound")
{
    CHECK(partnerCount(430, true, 5s, 500ms) == 1);
    for (const std::size_t hosts : { 1, 2, 5, 12, 48, 100 }) {
        const std::size_t partners = partnerCount(hosts, false, 5s, 500ms);
        CHECK(partners * 5 >= (hosts + 1) / 2);
    }
}

TEST_CASE_FIXTURE(ExchangeScheduleFixture, "linkDirection, peer reports that it does not hear this host, is incoming only")
{
    receiveFrom("h1", { self });
    receiveFrom("h2", { HostId("h3") });
    CHECK(direction("h1") == LinkDirection::IncomingOnly);
    CHECK(direction("h2") == LinkDirection::Both);
    receiveFrom("h1", {});
    CHECK(direction("h1") == LinkDirection::Both);
}

TEST_CASE_FIXTURE(ExchangeScheduleFixture, "linkDirection, silent for longer than the bound, is not heard")
{
    receiveFrom("h1", {});
    clock.advance(3s + 1ms);
    CHECK(direction("h1") == LinkDirection::NotHeard);
    CHECK(direction("h3") == LinkDirection::NotHeard);
}

TEST_CASE_FIXTURE(ExchangeScheduleFixture, "recordHeard, leaving and back again, follows the host's own report")
{
    receiveFrom("h1", {}, true);
    CHECK(links.at(HostId("h1")).leaving);
    receiveFrom("h1", {}, false);
    CHECK_FALSE(links.at(HostId("h1")).leaving);
}

TEST_CASE_FIXTURE(ExchangeScheduleFixture, "updateListedHosts, host no longer listed, is removed")
{
    updateListedHosts(links, someHosts(2), self, clock.now());
    CHECK(links.size() == 1);
    receiveFrom("h3", {});
    CHECK(links.size() == 1);
}
