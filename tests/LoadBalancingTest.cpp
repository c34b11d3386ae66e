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

    std::array<int, 4> countChoices(int count = 1000)
    {
        std::array<int, 4> result {};
        for (int index = 0; index < count; ++index)
            ++result[chooseBackendServer(candidates, random()).value()];
        return result;
    }
};

} // namespace

TEST_CASE_FIXTURE(LoadBalancingFixture, "chooseBackendServer, local zone has capacity, chooses only there")
{
    candidates[1].sameZone = true;
    CHECK(countChoices()[1] == 1000);
}

TEST_CASE_FIXTURE(LoadBalancingFixture, "chooseBackendServer, local zone reports no capacity, chooses elsewhere")
{
    candidates[1].sameZone = true;
    candidates[1].reportedLoad = 6;
    CHECK(countChoices()[1] == 0);
}

TEST_CASE_FIXTURE(LoadBalancingFixture, "chooseBackendServer, overloaded server, is avoided while others have capacity")
{
    candidates[2].overloaded = true;
    CHECK(countChoices()[2] == 0);
    for (Candidate& candidate : candidates)
        candidate.overloaded = true;
    CHECK(countChoices()[2] > 100);
}

TEST_CASE_FIXTURE(LoadBalancingFixture, "chooseBackendServer, server in warm-up, gets only its share")
{
    candidates[3].warmupShare = { 20 };
    const int warmingUpCount = countChoices(4000)[3];
    CHECK(warmingUpCount > 100);
    CHECK(warmingUpCount < 400);
}

TEST_CASE_FIXTURE(LoadBalancingFixture, "chooseBackendServer, slower server, still gets some requests")
{
    for (Candidate& candidate : candidates)
        candidate.latency = std::chrono::microseconds(1000);
    candidates[0].latency = std::chrono::microseconds(1100);
    CHECK(countChoices()[0] > 200);
    candidates[0].latency = std::chrono::microseconds(9000);
    CHECK(countChoices()[0] < 100);
    CHECK(countChoices()[0] > 10);
}

TEST_CASE_FIXTURE(LoadBalancingFixture, "chooseBackendServer, no server serving, returns nothing")
{
    for (Candidate& candidate : candidates)
        candidate.serving = false;
    CHECK_FALSE(chooseBackendServer(candidates, random()).has_value());
}
