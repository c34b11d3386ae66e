#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct OutlierDetectionFixture {
    const ZoneId here { "z1" };
    const ZoneId there { "z2" };
    const ZoneId farther { "z3" };

    // A word on one server: its attempts and failures among a service that is well apart from it.
    static HostEvidence testimony(const ZoneId& zone, double attempts, double bad, double badElsewhere = 0)
    {
        constexpr double attemptsElsewhere = 100;
        return { zone, { attempts, bad, 0, {} }, { attempts + attemptsElsewhere, bad + badElsewhere, 0, {} } };
    }
};

struct LatencyFixture {
    ManualClock clock;
    DecayingLatencyHistogram usual;

    void answer(std::chrono::microseconds latency, int times)
    {
        for (int count = 0; count < times; ++count)
            recordLatency(usual, latency, clock.now());
    }
    static AttemptEvidence evidence(AttemptOutcome outcome, std::chrono::microseconds latency = 1ms) { return { {}, {}, outcome, latency }; }
};

} // namespace

TEST_CASE_FIXTURE(OutlierDetectionFixture, "judge, own attempts fail and the rest is well, condemns on the own path only")
{
    const auto judgement = assessServer(here, testimony(here, 5, 5), 5, false, {});
    CHECK(judgement.isLocalOutlier);
    CHECK_FALSE(judgement.isFleetOutlier);
}

TEST_CASE_FIXTURE(OutlierDetectionFixture, "judge, three failures in a row at a low rate, condemns on the own path")
{
    CHECK(assessServer(here, testimony(here, 0.4, 0.4), 3, false, {}).isLocalOutlier);
    CHECK_FALSE(assessServer(here, testimony(here, 0.4, 0.4), 2, false, {}).isLocalOutlier);
}

TEST_CASE_FIXTURE(OutlierDetectionFixture, "judge, hosts of two zones complain a little, condemns by fleet")
{
    const std::vector<HostEvidence> peers { testimony(there, 2, 2), testimony(farther, 2, 2) };
    const auto judgement = assessServer(here, testimony(here, 1, 0), 0, false, peers);
    CHECK(judgement.isFleetOutlier);
    CHECK_FALSE(judgement.isLocalOutlier);
}

TEST_CASE_FIXTURE(OutlierDetectionFixture, "judge, hosts of one other zone complain, condemns nobody")
{
    const std::vector<HostEvidence> peers { testimony(there, 3, 3), testimony(there, 3, 3) };
    CHECK_FALSE(assessServer(here, testimony(here, 0, 0), 0, false, peers).isFleetOutlier);
}

TEST_CASE_FIXTURE(OutlierDetectionFixture, "judge, hosts of the server's own zone complain, condemns by fleet")
{
    const std::vector<HostEvidence> peers { testimony(here, 3, 3), testimony(here, 3, 3) };
    CHECK(assessServer(here, testimony(there, 0, 0), 0, false, peers).isFleetOutlier);
}

TEST_CASE_FIXTURE(OutlierDetectionFixture, "judge, one host complains however much, condemns nobody elsewhere")
{
    const std::vector<HostEvidence> peers { testimony(here, 50, 50) };
    CHECK_FALSE(assessServer(here, testimony(there, 1, 0), 0, false, peers).isFleetOutlier);
}

TEST_CASE_FIXTURE(OutlierDetectionFixture, "judge, the whole service fails alike, condemns nobody")
{
    const std::vector<HostEvidence> peers { testimony(there, 5, 3, 50), testimony(farther, 5, 3, 50) };
    const auto judgement = assessServer(here, testimony(here, 5, 5, 50), 9, false, peers);
    CHECK_FALSE(judgement.isLocalOutlier);
    CHECK_FALSE(judgement.isFleetOutlier);
}

TEST_CASE_FIXTURE(OutlierDetectionFixture, "judge, own link suspect, condemns nobody on the own path")
{
    CHECK_FALSE(assessServer(here, testimony(here, 5, 5), 5, true, {}).isLocalOutlier);
}

TEST_CASE_FIXTURE(LatencyFixture, "classify, cancelled, shed and leaving attempts, count for neither side")
{
    CHECK(classify(evidence(AttemptOutcome::Cancelled), usual) == EvidenceClass::Neutral);
    CHECK(classify(evidence(AttemptOutcome::Shed), usual) == EvidenceClass::Neutral);
    CHECK(classify(evidence(AttemptOutcome::Leaving), usual) == EvidenceClass::Neutral);
}

TEST_CASE_FIXTURE(LatencyFixture, "classify, answer far above the usual, is slow")
{
    answer(2ms, 50);
    CHECK(classify(evidence(AttemptOutcome::Answered, 10ms), usual) == EvidenceClass::Success);
    CHECK(classify(evidence(AttemptOutcome::Answered, 60ms), usual) == EvidenceClass::Slow);
}

TEST_CASE_FIXTURE(LatencyFixture, "classify, every answer slow for a while, is usual again")
{
    answer(2ms, 50);
    clock.advance(5s);
    answer(60ms, 100);
    CHECK(classify(evidence(AttemptOutcome::Answered, 60ms), usual) == EvidenceClass::Success);
}

TEST_CASE_FIXTURE(LatencyFixture, "stall bound, fast and slow service, follows the usual latency")
{
    CHECK(stallTimeout(usual) == 1s);
    answer(2ms, 50);
    CHECK(stallTimeout(usual) == 100ms);
    answer(300ms, 200);
    CHECK(stallTimeout(usual) > 1s);
}

TEST_CASE("recovery, ejected again soon after return, doubles the hold")
{
    ManualClock clock;
    clock.advance(1h);
    Recovery recovery;
    beginHold(recovery, clock.now());
    const Duration first = recovery.holdDuration;
    beginReturn(recovery, true, clock.now());
    clock.advance(5s);
    beginHold(recovery, clock.now());
    CHECK(recovery.holdDuration == 2 * first);
    beginReturn(recovery, true, clock.now());
    clock.advance(1h);
    beginHold(recovery, clock.now());
    CHECK(recovery.holdDuration == first);
}

TEST_CASE("recovery, probes pass in a row, returns and ramps to the whole")
{
    ManualClock clock;
    clock.advance(1h);
    Recovery recovery;
    beginHold(recovery, clock.now());
    CHECK_FALSE(tryStartProbe(recovery, clock.now()));
    clock.advance(2s);
    for (int probe = 0; probe < 3; ++probe) {
        CHECK_FALSE(hasPassedProbes(recovery));
        CHECK(tryStartProbe(recovery, clock.now()));
        CHECK_FALSE(tryStartProbe(recovery, clock.now()));
        recordProbe(recovery, true, clock.now());
        clock.advance(1s);
    }
    CHECK(hasPassedProbes(recovery));
    beginReturn(recovery, true, clock.now());
    CHECK(warmupShare(recovery, clock.now()) == initialWarmupShare);
    clock.advance(5s);
    CHECK(warmupShare(recovery, clock.now()).value == 100);
}

TEST_CASE("retry budget, brown-out, starves")
{
    RetryBudget budget;
    int taken = 0;
    for (int request = 0; request < 1000; ++request) {
        deposit(budget);
        taken += tryWithdraw(budget) ? 1 : 0;
    }
    CHECK(taken <= 160);
    CHECK(taken >= 150);
}
