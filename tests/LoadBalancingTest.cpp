#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <array>
#include <random>

using namespace lacewingsail;

namespace {

struct LoadBalancingFixture {
    std::array<Candidate, 4> candidates {};
    std::mt19937_64 random { 1 };

    LoadBalancingFixture()
    {
        for (Candidate& candidate : candidates)
            candidate.slots = { 6 };
    }

    std::array<int, 4> choices(int count = 1000)
    {
        std::array<int, 4> result {};
        for (int index = 0; index < count; ++index)
            ++result[chooseBackendServer(candidates, random()).value()];
        return result;
    }
};

} // namespace

TEST_CASE_FIXTURE(LoadBalancingFixture, "choice, own zone has room, stays there")
{
    candidates[1].sameZone = true;
    CHECK(choices()[1] == 1000);
}

TEST_CASE_FIXTURE(LoadBalancingFixture, "choice, own zone reports no room, goes elsewhere")
{
    candidates[1].sameZone = true;
    candidates[1].reportedLoad = 6;
    CHECK(choices()[1] == 0);
}

TEST_CASE_FIXTURE(LoadBalancingFixture, "choice, server shed a moment ago, is left alone while others have room")
{
    candidates[2].overloaded = true;
    CHECK(choices()[2] == 0);
    for (Candidate& candidate : candidates)
        candidate.overloaded = true;
    CHECK(choices()[2] > 100);
}

TEST_CASE_FIXTURE(LoadBalancingFixture, "choice, server warms up, gets its share only")
{
    candidates[3].warmupShare = { 20 };
    const int cold = choices(4000)[3];
    CHECK(cold > 100);
    CHECK(cold < 400);
}

TEST_CASE_FIXTURE(LoadBalancingFixture, "choice, one server a little slower, still gets its part")
{
    for (Candidate& candidate : candidates)
        candidate.latency = std::chrono::microseconds(1000);
    candidates[0].latency = std::chrono::microseconds(1100);
    CHECK(choices()[0] > 200);
    candidates[0].latency = std::chrono::microseconds(9000);
    CHECK(choices()[0] < 100);
    CHECK(choices()[0] > 10);
}

TEST_CASE_FIXTURE(LoadBalancingFixture, "choice, none serving, chooses none")
{
    for (Candidate& candidate : candidates)
        candidate.serving = false;
    CHECK_FALSE(chooseBackendServer(candidates, random()).has_value());
}
