#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <array>

using namespace lacewingsail;

namespace {

struct LocalPlacementFixture {
    PlacementConstraints constraints;
    std::vector<PlacementCandidate> servers;

    PlacementCandidate& add()
    {
        PlacementCandidate candidate;
        candidate.slots = SlotCount { 6 };
        candidate.sameZone = true;
        servers.push_back(candidate);
        return servers.back();
    }

    // Shares of the servers over evenly spread random numbers.
    std::vector<double> shares() const
    {
        constexpr int draws = 1000;
        std::vector<double> counts(servers.size(), 0);
        for (int draw = 0; draw < draws; ++draw) {
            if (const auto chosen = chooseWeighted(servers, constraints, draw / static_cast<double>(draws)))
                counts[*chosen] += 1.0 / draws;
        }
        return counts;
    }
};

} // namespace

TEST_CASE_FIXTURE(LocalPlacementFixture, "chooseWeighted, one server busier, gets less, but not less than in proportion to its free slots")
{
    add();
    add().load = 4;
    const auto share = shares();
    CHECK(share[0] > 1.5 * share[1]);
    CHECK(share[0] < 3 * share[1]);
}

TEST_CASE_FIXTURE(LocalPlacementFixture, "chooseWeighted, every server above its maximum load, chooses none")
{
    add().load = 12;
    add().load = 13;
    CHECK_FALSE(chooseWeighted(servers, constraints, 0.5));
}

TEST_CASE_FIXTURE(LocalPlacementFixture, "chooseWeighted, equally free servers of both zones, prefers the local one")
{
    add();
    add().sameZone = false;
    const auto share = shares();
    CHECK(share[0] > 0.7);
    CHECK(share[1] > 0.1);
}

TEST_CASE_FIXTURE(LocalPlacementFixture, "chooseWeighted, local server full and remote one free, prefers the remote one")
{
    add().load = 6;
    add().sameZone = false;
    CHECK(shares()[1] > 0.7);
}

TEST_CASE_FIXTURE(LocalPlacementFixture, "chooseWeighted, failing server and a request that cannot be retried, avoids it")
{
    for (int index = 0; index < 5; ++index)
        add();
    servers[2].failureRate = 0.8;
    servers[2].sampleCount = 5;
    CHECK(shares()[2] == 0);
}

TEST_CASE_FIXTURE(LocalPlacementFixture, "chooseWeighted, more servers failing than the floor allows, still uses them")
{
    for (int index = 0; index < 4; ++index) {
        PlacementCandidate& server = add();
        server.failureRate = index < 2 ? 0.4 : 0;
        server.sampleCount = 5;
    }
    CHECK(shares()[0] > 0);
}

TEST_CASE_FIXTURE(LocalPlacementFixture, "chooseWeighted, server already tried or unreachable or overloaded, is excluded")
{
    add().alreadyTried = true;
    add().unreachable = true;
    add().overloaded = true;
    CHECK_FALSE(chooseWeighted(servers, constraints, 0.5));
    add();
    CHECK(chooseWeighted(servers, constraints, 0.5) == 3u);
}

TEST_CASE_FIXTURE(LocalPlacementFixture, "chooseWeighted, slow server, has less capacity")
{
    add();
    add().latencyRatio = 4;
    servers[1].load = 3;
    const auto share = shares();
    CHECK(share[0] > 0.95);
}
