#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <array>

using namespace lacewingsail;

namespace {

struct LocalPlacementFixture {
    PlacementConstraints terms;
    std::vector<PlacementCandidate> servers;

    PlacementCandidate& add()
    {
        PlacementCandidate sight;
        sight.slots = SlotCount { 6 };
        sight.sameZone = true;
        servers.push_back(sight);
        return servers.back();
    }

    // Share of evenly spread draws that go to each server.
    std::vector<double> shares() const
    {
        constexpr int draws = 1000;
        std::vector<double> counts(servers.size(), 0);
        for (int draw = 0; draw < draws; ++draw) {
            if (const auto chosen = chooseWeighted(servers, terms, draw / static_cast<double>(draws)))
                counts[*chosen] += 1.0 / draws;
        }
        return counts;
    }
};

} // namespace

TEST_CASE_FIXTURE(LocalPlacementFixture, "place, one server busier, gets less, but not less than in proportion to its free slots")
{
    add();
    add().load = 4;
    const auto share = shares();
    CHECK(share[0] > 1.5 * share[1]);
    CHECK(share[0] < 3 * share[1]);
}

TEST_CASE_FIXTURE(LocalPlacementFixture, "place, every server beyond its fill, chooses none")
{
    add().load = 12;
    add().load = 13;
    CHECK_FALSE(chooseWeighted(servers, terms, 0.5));
}

TEST_CASE_FIXTURE(LocalPlacementFixture, "place, equally free servers near and far, prefers the near one")
{
    add();
    add().sameZone = false;
    const auto share = shares();
    CHECK(share[0] > 0.7);
    CHECK(share[1] > 0.1);
}

TEST_CASE_FIXTURE(LocalPlacementFixture, "place, near server full and far one free, takes the far one")
{
    add().load = 6;
    add().sameZone = false;
    CHECK(shares()[1] > 0.7);
}

TEST_CASE_FIXTURE(LocalPlacementFixture, "place, failing server and a request that may not be repeated, avoids it")
{
    for (int index = 0; index < 5; ++index)
        add();
    servers[2].failureRate = 0.8;
    servers[2].sampleCount = 5;
    CHECK(shares()[2] == 0);
}

TEST_CASE_FIXTURE(LocalPlacementFixture, "place, more servers failing than the floor allows, still uses them")
{
    for (int index = 0; index < 4; ++index) {
        PlacementCandidate& server = add();
        server.failureRate = index < 2 ? 0.4 : 0;
        server.sampleCount = 5;
    }
    CHECK(shares()[0] > 0);
}

TEST_CASE_FIXTURE(LocalPlacementFixture, "place, server tried before or unreachable or full, is left out")
{
    add().alreadyTried = true;
    add().unreachable = true;
    add().overloaded = true;
    CHECK_FALSE(chooseWeighted(servers, terms, 0.5));
    add();
    CHECK(chooseWeighted(servers, terms, 0.5) == 3u);
}

TEST_CASE_FIXTURE(LocalPlacementFixture, "place, slow server, counts for less capacity")
{
    add();
    add().latencyRatio = 4;
    servers[1].load = 3;
    const auto share = shares();
    CHECK(share[0] > 0.95);
}
