#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct DetectionFixture {
    const ZoneId here { "z1" };
    const ZoneId there { "z2" };
    const ZoneId farther { "z3" };

    // A word on one server: its attempts and failures among a service that is well apart from it.
    static Testimony testimony(const ZoneId& zone, double attempts, double bad, double badElsewhere = 0)
    {
        constexpr double attemptsElsewhere = 100;
        return { zone, { attempts, bad, 0, {} }, { attempts + attemptsElsewhere, bad + badElsewhere, 0, {} } };
    }
};

struct LatencyFixture {
    ManualClock clock;
    UsualLatency usual;

    void answer(std::chrono::microseconds latency, int times)
    {
        for (int count = 0; count < times; ++count)
            record(usual, latency, clock.now());
    }
    static AttemptEvidence evidence(AttemptOutcome outcome, std::chrono::microseconds latency = 1ms) { return { {}, {}, outcome, latency }; }
};

} // namespace

TEST_CASE_FIXTURE(DetectionFixture, "judge, own attempts fail and the rest is well, condemns on the own path only")
{
    const auto judgement = judge(here, testimony(here, 5, 5), 5, false, {});
    CHECK(judgement.condemnedOnOwnPath);
    CHECK_FALSE(judgement.condemnedByFleet);
}

TEST_CASE_FIXTURE(DetectionFixture, "judge, three failures in a row at a low rate, condemns on the own path")
{
    CHECK(judge(here, testimony(here, 0.4, 0.4), 3, false, {}).condemnedOnOwnPath);
    CHECK_FALSE(judge(here, testimony(here, 0.4, 0.4), 2, false, {}).condemnedOnOwnPath);
}

TEST_CASE_FIXTURE(DetectionFixture, "judge, hosts of two zones complain a little, condemns by fleet")
{
    const std::vector<Testimony> peers { testimony(there, 2, 2), testimony(farther, 2, 2) };
    const auto judgement = judge(here, testimony(here, 1, 0), 0, false, peers);
    CHECK(judgement.condemnedByFleet);
    CHECK_FALSE(judgement.condemnedOnOwnPath);
}

TEST_CASE_FIXTURE(DetectionFixture, "judge, hosts of one other zone complain, condemns nobody")
{
    const std::vector<Testimony> peers { testimony(there, 3, 3), testimony(there, 3, 3) };
    CHECK_FALSE(judge(here, testimony(here, 0, 0), 0, false, peers).condemnedByFleet);
}

TEST_CASE_FIXTURE(DetectionFixture, "judge, hosts of the server's own zone complain, condemns by fleet")
{
    const std::vector<Testimony> peers { testimony(here, 3, 3), testimony(here, 3, 3) };
    CHECK(judge(here, testimony(there, 0, 0), 0, false, peers).condemnedByFleet);
}

TEST_CASE_FIXTURE(DetectionFixture, "judge, one host complains however much, condemns nobody elsewhere")
{
    const std::vector<Testimony> peers { testimony(here, 50, 50) };
    CHECK_FALSE(judge(here, testimony(there, 1, 0), 0, false, peers).condemnedByFleet);
}

TEST_CASE_FIXTURE(DetectionFixture, "judge, the whole service fails alike, condemns nobody")
{
    const std::vector<Testimony> peers { testimony(there, 5, 3, 50), testimony(farther, 5, 3, 50) };
    const auto judgement = judge(here, testimony(here, 5, 5, 50), 9, false, peers);
    CHECK_FALSE(judgement.condemnedOnOwnPath);
    CHECK_FALSE(judgement.condemnedByFleet);
}

TEST_CASE_FIXTURE(DetectionFixture, "judge, own link suspect, condemns nobody on the own path")
{
    CHECK_FALSE(judge(here, testimony(here, 5, 5), 5, true, {}).condemnedOnOwnPath);
}

TEST_CASE_FIXTURE(LatencyFixture, "classify, cancelled, shed and leaving attempts, count for neither side")
{
    CHECK(classify(evidence(AttemptOutcome::Cancelled), usual) == EvidenceClass::Neither);
    CHECK(classify(evidence(AttemptOutcome::Shed), usual) == EvidenceClass::Neither);
    CHECK(classify(evidence(AttemptOutcome::Leaving), usual) == EvidenceClass::Neither);
}

TEST_CASE_FIXTURE(LatencyFixture, "classify, answer far above the usual, is slow")
{
    answer(2ms, 50);
    CHECK(classify(evidence(AttemptOutcome::Answered, 10ms), usual) == EvidenceClass::Good);
    CHECK(classify(evidence(AttemptOutcome::Answered, 60ms), usual) == EvidenceClass::Slow);
}

TEST_CASE_FIXTURE(LatencyFixture, "classify, every answer slow for a while, is usual again")
{
    answer(2ms, 50);
    clock.advance(5s);
    answer(60ms, 100);
    CHECK(classify(evidence(AttemptOutcome::Answered, 60ms), usual) == EvidenceClass::Good);
}

TEST_CASE_FIXTURE(LatencyFixture, "stall bound, fast and slow service, follows the usual latency")
{
    CHECK(stallBound(usual) == 1s);
    answer(2ms, 50);
    CHECK(stallBound(usual) == 100ms);
    answer(300ms, 200);
    CHECK(stallBound(usual) > 1s);
}

TEST_CASE("recovery, ejected again soon after return, doubles the hold")
{
    ManualClock clock;
    clock.advance(1h);
    Recovery recovery;
    beginHold(recovery, clock.now());
    const Duration first = recovery.hold;
    beginReturn(recovery, true, clock.now());
    clock.advance(5s);
    beginHold(recovery, clock.now());
    CHECK(recovery.hold == 2 * first);
    beginReturn(recovery, true, clock.now());
    clock.advance(1h);
    beginHold(recovery, clock.now());
    CHECK(recovery.hold == first);
}

TEST_CASE("recovery, probes pass in a row, returns and ramps to the whole")
{
    ManualClock clock;
    clock.advance(1h);
    Recovery recovery;
    beginHold(recovery, clock.now());
    CHECK_FALSE(takeProbe(recovery, clock.now()));
    clock.advance(2s);
    for (int probe = 0; probe < 3; ++probe) {
        CHECK_FALSE(passedProbes(recovery));
        CHECK(takeProbe(recovery, clock.now()));
        CHECK_FALSE(takeProbe(recovery, clock.now()));
        countProbe(recovery, true, clock.now());
        clock.advance(1s);
    }
    CHECK(passedProbes(recovery));
    beginReturn(recovery, true, clock.now());
    CHECK(shareAt(recovery, clock.now()) == firstShare);
    clock.advance(5s);
    CHECK(shareAt(recovery, clock.now()).value == 100);
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
