#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct OutlierDetectionFixture {
    const ZoneId localZone { "z1" };
    const ZoneId otherZone { "z2" };
    const ZoneId thirdZone { "z3" };

    // Evidence of one host about a server; the other servers of the service have the given failures.
    static HostEvidence hostEvidence(const ZoneId& zone, double attempts, double failures, double failuresElsewhere = 0)
    {
        constexpr double attemptsElsewhere = 100;
        return { zone, { attempts, failures, 0, {} }, { attempts + attemptsElsewhere, failures + failuresElsewhere, 0, {} } };
    }
};

struct LatencyFixture {
    ManualClock clock;
    DecayingLatencyHistogram histogram;

    void recordResponses(std::chrono::microseconds latency, int times)
    {
        for (int count = 0; count < times; ++count)
            recordLatency(histogram, latency, clock.now());
    }
    static AttemptEvidence evidence(AttemptOutcome outcome, std::chrono::microseconds latency = 1ms) { return { {}, {}, outcome, latency }; }
};

} // namespace

TEST_CASE_FIXTURE(OutlierDetectionFixture, "assessServer, local attempts fail and other servers are healthy, is a local outlier only")
{
    const auto assessment = assessServer(localZone, hostEvidence(localZone, 5, 5), 5, false, {});
    CHECK(assessment.isLocalOutlier);
    CHECK_FALSE(assessment.isFleetOutlier);
}

TEST_CASE_FIXTURE(OutlierDetectionFixture, "assessServer, three consecutive failures at a low rate, is a local outlier")
{
    CHECK(assessServer(localZone, hostEvidence(localZone, 0.4, 0.4), 3, false, {}).isLocalOutlier);
    CHECK_FALSE(assessServer(localZone, hostEvidence(localZone, 0.4, 0.4), 2, false, {}).isLocalOutlier);
}

TEST_CASE_FIXTURE(OutlierDetectionFixture, "assessServer, hosts of two zones report a few failures, is a fleet outlier")
{
    const std::vector<HostEvidence> peers { hostEvidence(otherZone, 2, 2), hostEvidence(thirdZone, 2, 2) };
    const auto assessment = assessServer(localZone, hostEvidence(localZone, 1, 0), 0, false, peers);
    CHECK(assessment.isFleetOutlier);
    CHECK_FALSE(assessment.isLocalOutlier);
}

TEST_CASE_FIXTURE(OutlierDetectionFixture, "assessServer, only hosts of one other zone report failures, is no outlier")
{
    const std::vector<HostEvidence> peers { hostEvidence(otherZone, 3, 3), hostEvidence(otherZone, 3, 3) };
    CHECK_FALSE(assessServer(localZone, hostEvidence(localZone, 0, 0), 0, false, peers).isFleetOutlier);
}

TEST_CASE_FIXTURE(OutlierDetectionFixture, "assessServer, hosts of the server's zone report failures, is a fleet outlier")
{
    const std::vector<HostEvidence> peers { hostEvidence(localZone, 3, 3), hostEvidence(localZone, 3, 3) };
    CHECK(assessServer(localZone, hostEvidence(otherZone, 0, 0), 0, false, peers).isFleetOutlier);
}

TEST_CASE_FIXTURE(OutlierDetectionFixture, "assessServer, only one host reports failures, is no outlier on other hosts")
{
    const std::vector<HostEvidence> peers { hostEvidence(localZone, 50, 50) };
    CHECK_FALSE(assessServer(localZone, hostEvidence(otherZone, 1, 0), 0, false, peers).isFleetOutlier);
}

TEST_CASE_FIXTURE(OutlierDetectionFixture, "assessServer, all servers of the service fail, is no outlier")
{
    const std::vector<HostEvidence> peers { hostEvidence(otherZone, 5, 3, 50), hostEvidence(thirdZone, 5, 3, 50) };
    const auto assessment = assessServer(localZone, hostEvidence(localZone, 5, 5, 50), 9, false, peers);
    CHECK_FALSE(assessment.isLocalOutlier);
    CHECK_FALSE(assessment.isFleetOutlier);
}

TEST_CASE_FIXTURE(OutlierDetectionFixture, "assessServer, local link suspected, is no local outlier")
{
    CHECK_FALSE(assessServer(localZone, hostEvidence(localZone, 5, 5), 5, true, {}).isLocalOutlier);
}

TEST_CASE_FIXTURE(LatencyFixture, "classify, cancelled, shed and leaving attempts, are neutral")
{
    CHECK(classify(evidence(AttemptOutcome::Cancelled), histogram) == EvidenceClass::Neutral);
    CHECK(classify(evidence(AttemptOutcome::Shed), histogram) == EvidenceClass::Neutral);
    CHECK(classify(evidence(AttemptOutcome::Leaving), histogram) == EvidenceClass::Neutral);
}

TEST_CASE_FIXTURE(LatencyFixture, "classify, response far slower than usual, is slow")
{
    recordResponses(2ms, 50);
    CHECK(classify(evidence(AttemptOutcome::Answered, 10ms), histogram) == EvidenceClass::Success);
    CHECK(classify(evidence(AttemptOutcome::Answered, 60ms), histogram) == EvidenceClass::Slow);
}

TEST_CASE_FIXTURE(LatencyFixture, "classify, all responses slow for some time, is a success again")
{
    recordResponses(2ms, 50);
    clock.advance(5s);
    recordResponses(60ms, 100);
    CHECK(classify(evidence(AttemptOutcome::Answered, 60ms), histogram) == EvidenceClass::Success);
}

TEST_CASE_FIXTURE(LatencyFixture, "stallTimeout, fast and slow service, follows the usual latency")
{
    CHECK(stallTimeout(histogram) == 1s);
    recordResponses(2ms, 50);
    CHECK(stallTimeout(histogram) == 100ms);
    recordResponses(300ms, 200);
    CHECK(stallTimeout(histogram) > 1s);
}

TEST_CASE("recovery, ejected again soon after its return, doubles the hold")
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

TEST_CASE("recovery, consecutive probes pass, returns and warms up to the full share")
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

TEST_CASE("retry budget, every request needs a retry, limits the retries")
{
    RetryBudget budget;
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        deposit(budget);
        retries += tryWithdraw(budget) ? 1 : 0;
    }
    CHECK(retries <= 160);
    CHECK(retries >= 150);
}
