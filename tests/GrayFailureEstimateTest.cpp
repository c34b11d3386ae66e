#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <random>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct GrayFailureEstimateFixture {
    ManualClock clock;
    GrayFailureEstimate estimate;

    void recordOutcomes(std::initializer_list<bool> failures)
    {
        for (const bool failed : failures) {
            clock.advance(100ms);
            recordOutcome(estimate, failed, clock.now());
        }
    }

    double probability() const { return grayFailureProbability(estimate, clock.now()); }
};

} // namespace

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "grayFailureProbability, no outcome yet, is low")
{
    CHECK(probability() < 0.02);
}

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "grayFailureProbability, one failure among successes, stays below one half")
{
    recordOutcomes({ false, false, true });
    CHECK(probability() > 0.05);
    CHECK(probability() < 0.4);
}

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "grayFailureProbability, two failures in a row, is high")
{
    recordOutcomes({ false, true, true });
    CHECK(probability() > 0.8);
}

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "grayFailureProbability, half of the requests fail, stays high")
{
    recordOutcomes({ true, false, true, false, true, false, true, false });
    CHECK(probability() > 0.6);
}

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "grayFailureProbability, successes after a gray failure, falls within a few answers")
{
    recordOutcomes({ true, true, true });
    recordOutcomes({ false, false, false, false, false, false, false });
    CHECK(probability() < 0.2);
}

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "grayFailureProbability, no outcomes for several times the length of a gray failure, is low again")
{
    recordOutcomes({ true, true, true });
    clock.advance(20s);
    CHECK(probability() < 0.02);
}

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "recordUnreachable, path from one host fails while others succeed, probability stays low")
{
    recordUnreachable(estimate, clock.now());
    CHECK(probability() < 0.2);
    for (int round = 0; round < 10; ++round) {
        recordOutcomes({ false, false, false, false });
        recordUnreachable(estimate, clock.now());
    }
    CHECK(probability() < 0.2);
}

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "recordUnreachable, several hosts in a row, probability is high")
{
    for (int host = 0; host < 3; ++host)
        recordUnreachable(estimate, clock.now());
    CHECK(probability() > 0.8);
}

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "grayFailureProbability, random failures of a healthy server, is rarely high")
{
    std::mt19937_64 random { 5 };
    std::bernoulli_distribution failing(0.012);
    int suspected = 0;
    constexpr int requests = 20'000;
    for (int request = 0; request < requests; ++request) {
        clock.advance(160ms);
        recordOutcome(estimate, failing(random), clock.now());
        suspected += probability() >= 0.6 ? 1 : 0;
    }
    CHECK(suspected < requests / 500);
}
