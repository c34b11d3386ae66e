#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <random>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct GrayFailureEstimateFixture {
    ManualClock clock;
    GrayFailureEstimate odds;

    void outcomes(std::initializer_list<bool> failures)
    {
        for (const bool failed : failures) {
            clock.advance(100ms);
            recordOutcome(odds, failed, clock.now());
        }
    }

    double chance() const { return grayFailureProbability(odds, clock.now()); }
};

} // namespace

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "spellChance, no outcome yet, is small")
{
    CHECK(chance() < 0.02);
}

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "spellChance, one failure among successes, is no verdict")
{
    outcomes({ false, false, true });
    CHECK(chance() > 0.05);
    CHECK(chance() < 0.4);
}

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "spellChance, two failures in a row, is all but certain")
{
    outcomes({ false, true, true });
    CHECK(chance() > 0.8);
}

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "spellChance, half of the requests fail, stays high")
{
    outcomes({ true, false, true, false, true, false, true, false });
    CHECK(chance() > 0.6);
}

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "spellChance, a spell ends and the server serves, falls within a few answers")
{
    outcomes({ true, true, true });
    outcomes({ false, false, false, false, false, false, false });
    CHECK(chance() < 0.2);
}

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "spellChance, no outcomes for some lengths of a spell, is small again")
{
    outcomes({ true, true, true });
    clock.advance(20s);
    CHECK(chance() < 0.02);
}

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "noteUnreached, one host's way is cut while others are served, is no verdict")
{
    recordUnreachable(odds, clock.now());
    CHECK(chance() < 0.2);
    for (int round = 0; round < 10; ++round) {
        outcomes({ false, false, false, false });
        recordUnreachable(odds, clock.now());
    }
    CHECK(chance() < 0.2);
}

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "noteUnreached, several hosts in a row, is a verdict")
{
    for (int host = 0; host < 3; ++host)
        recordUnreachable(odds, clock.now());
    CHECK(chance() > 0.8);
}

TEST_CASE_FIXTURE(GrayFailureEstimateFixture, "spellChance, failures by chance on a sound server, doubts it rarely")
{
    std::mt19937_64 random { 5 };
    std::bernoulli_distribution failing(0.012);
    int doubted = 0;
    constexpr int requests = 20'000;
    for (int request = 0; request < requests; ++request) {
        clock.advance(160ms);
        recordOutcome(odds, failing(random), clock.now());
        doubted += chance() >= 0.6 ? 1 : 0;
    }
    CHECK(doubted < requests / 500);
}
