#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace lacewingsail;

namespace {

struct RelaysFixture {
    std::vector<LiveHost> hosts;

    RelaysFixture()
    {
        for (int index = 0; index < 12; ++index)
            hosts.push_back({ HostId("host-" + std::to_string(index)), ZoneId(index % 3 == 0 ? "a" : "b"), { "10.0.0.1", static_cast<std::uint16_t>(index) } });
    }
};

} // namespace

TEST_CASE_FIXTURE(RelaysFixture, "relaysInZone, same hosts in another order, are the same")
{
    const auto before = relaysInZone(hosts, ZoneId("b"));
    std::vector<HostId> ids;
    for (const LiveHost* host : before)
        ids.push_back(host->id);
    std::ranges::reverse(hosts);
    const auto after = relaysInZone(hosts, ZoneId("b"));
    REQUIRE(after.size() == relaysPerZone);
    for (std::size_t rank = 0; rank < after.size(); ++rank) {
        CHECK(after[rank]->id == ids[rank]);
        CHECK(after[rank]->zone == ZoneId("b"));
    }
}

TEST_CASE_FIXTURE(RelaysFixture, "relaysInZone, first relay gone, makes the second one the first")
{
    const auto before = relaysInZone(hosts, ZoneId("b"));
    const HostId first = before[0]->id;
    const HostId second = before[1]->id;
    std::erase_if(hosts, [&](const LiveHost& host) { return host.id == first; });
    CHECK(relaysInZone(hosts, ZoneId("b"))[0]->id == second);
}

TEST_CASE_FIXTURE(RelaysFixture, "relaysInZone, host with more of a processor, is the first relay")
{
    hosts[4].processorShare = 0.5;
    CHECK(relaysInZone(hosts, ZoneId("b"))[0]->id == hosts[4].id);
}

TEST_CASE_FIXTURE(RelaysFixture, "rankHosts, fewer hosts than requested, returns all")
{
    CHECK(rankHosts(hosts, "account", 50).size() == hosts.size());
    CHECK(rankHosts({}, "account", 2).empty());
}

TEST_CASE("rankHostsByProcessor, hosts of unlike size, are first in proportion to their processors")
{
    std::vector<LiveHost> hosts;
    for (int index = 0; index < 10; ++index)
        hosts.push_back({ HostId("h" + std::to_string(index)), ZoneId("a"), {}, index < 2 ? 0.5 : 0.1 });
    int large = 0;
    constexpr int keys = 3000;
    for (int key = 0; key < keys; ++key)
        large += rankHostsByProcessor(hosts, std::to_string(key), 1).front()->processorShare > 0.2 ? 1 : 0;
    // Two hosts of 0.5 cores beside eight of 0.1.
    CHECK(large > keys * 10 / 18 * 0.93);
    CHECK(large < keys * 10 / 18 * 1.07);
}

TEST_CASE("rankHostsByProcessor, a host is lost, keeps the other keys' hosts")
{
    std::vector<LiveHost> hosts;
    for (int index = 0; index < 10; ++index)
        hosts.push_back({ HostId("h" + std::to_string(index)), ZoneId("a"), {}, 0.1 * (1 + index % 3) });
    std::vector<LiveHost> remaining(hosts.begin() + 1, hosts.end());
    for (int key = 0; key < 300; ++key) {
        const HostId first = rankHostsByProcessor(hosts, std::to_string(key), 1).front()->id;
        if (first != hosts.front().id)
            CHECK(rankHostsByProcessor(remaining, std::to_string(key), 1).front()->id == first);
    }
}
