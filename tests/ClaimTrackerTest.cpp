#include <lacewingsail/Bookings.h>

#include <doctest/doctest.h>

using namespace lacewingsail;

namespace {

constexpr std::chrono::seconds deadline { 5 };

/// \brief Claim trackers of two hosts on one stream. Tests decide which batches reach the log, and when.
struct ClaimTrackerFixture {
    ManualClock clock;
    ClaimTracker first { HostId("host-0"), {} };
    ClaimTracker second { HostId("host-1"), {} };
    std::map<std::string, std::vector<ClaimVerdict>> verdicts;

    ClaimTrackerFixture()
    {
        clock.advance(std::chrono::hours(1));
        first.recordRead(clock.now());
        second.recordRead(clock.now());
    }

    void claim(ClaimTracker& tracker, const std::string& request)
    {
        const BookingClaim claim { ClientAccountId("norrland"), "k", "f", RequestId(request), deadline };
        tracker.claim(
            claim, clock.now() + deadline, [this, request](const ClaimDecision& decision) { verdicts[request].push_back(decision.verdict); }, clock.now());
    }

    BookingBatch append(ClaimTracker& tracker, bool acknowledged = true)
    {
        clock.advance(std::chrono::seconds(1));
        const auto batch = tracker.nextBatch(clock.now());
        REQUIRE(batch);
        tracker.recordAppend(acknowledged, clock.now());
        return *batch;
    }

    void applyToBoth(const BookingBatch& batch)
    {
        first.applyBatch(batch, clock.now());
        second.applyBatch(batch, clock.now());
    }
};

using Verdicts = std::vector<ClaimVerdict>;

} // namespace

TEST_CASE_FIXTURE(ClaimTrackerFixture, "claim, append acknowledged but not read back, is not decided")
{
    claim(first, "a");
    append(first);
    CHECK(verdicts["a"].empty());
}

TEST_CASE_FIXTURE(ClaimTrackerFixture, "claim, two hosts at the same time, only the first in the log runs")
{
    claim(first, "a");
    claim(second, "b");
    const BookingBatch one = append(first);
    const BookingBatch two = append(second);
    applyToBoth(two);
    applyToBoth(one);
    CHECK(verdicts["b"] == Verdicts { ClaimVerdict::Run });
    CHECK(verdicts["a"] == Verdicts { ClaimVerdict::InProgress });
}

TEST_CASE_FIXTURE(ClaimTrackerFixture, "claim, acknowledgement of the append lost, is decided when read back")
{
    claim(first, "a");
    const BookingBatch batch = append(first, false);
    first.applyBatch(batch, clock.now());
    CHECK(verdicts["a"] == Verdicts { ClaimVerdict::Run });
    CHECK_FALSE(first.nextBatch(clock.now() + std::chrono::hours(1)));
}

TEST_CASE_FIXTURE(ClaimTrackerFixture, "claim, append not acknowledged and not read back, is abandoned and not appended again")
{
    claim(first, "a");
    append(first, false);
    clock.advance(deadline);
    first.tick(clock.now());
    CHECK(verdicts["a"] == Verdicts { ClaimVerdict::LogUnavailable });
    first.recordRead(clock.now() + std::chrono::hours(1));
    CHECK_FALSE(first.nextBatch(clock.now() + std::chrono::hours(1)));
}

TEST_CASE_FIXTURE(ClaimTrackerFixture, "applyBatch, claim that appears after it was abandoned, does not run and frees the key")
{
    claim(first, "a");
    const BookingBatch late = append(first, false);
    clock.advance(deadline);
    first.tick(clock.now());
    applyToBoth(late);
    CHECK(verdicts["a"] == Verdicts { ClaimVerdict::LogUnavailable });
    applyToBoth(append(first));
    second.recordRead(clock.now());
    claim(second, "b");
    applyToBoth(append(second));
    CHECK(verdicts["b"] == Verdicts { ClaimVerdict::Run });
}

TEST_CASE_FIXTURE(ClaimTrackerFixture, "applyBatch, claim read back after its deadline, does not run")
{
    claim(first, "a");
    const BookingBatch batch = append(first);
    clock.advance(deadline);
    first.applyBatch(batch, clock.now());
    CHECK(verdicts["a"] == Verdicts { ClaimVerdict::LogUnavailable });
    CHECK(first.nextBatch(clock.now() + std::chrono::seconds(1))->outcomes.front().result == BookingResult::NotRun);
}

TEST_CASE_FIXTURE(ClaimTrackerFixture, "claim, host that has not read the whole log, is decided after the records that precede it")
{
    claim(first, "a");
    const BookingBatch early = append(first);
    ClaimTracker joining(HostId("host-2"), {});
    joining.recordRead(clock.now());
    claim(joining, "c");
    const BookingBatch later = append(joining);
    CHECK(verdicts["c"].empty());
    joining.applyBatch(early, clock.now());
    joining.applyBatch(later, clock.now());
    CHECK(verdicts["c"] == Verdicts { ClaimVerdict::InProgress });
}

TEST_CASE_FIXTURE(ClaimTrackerFixture, "claim, restarted host with the same name, does not free the key of its earlier run")
{
    claim(first, "a");
    const BookingBatch batch = append(first);
    ClaimTracker restarted(HostId("host-0"), {});
    restarted.applyBatch(batch, clock.now());
    restarted.recordRead(clock.now());
    CHECK_FALSE(restarted.nextBatch(clock.now() + std::chrono::hours(1)));
    claim(restarted, "b");
    restarted.applyBatch(append(restarted), clock.now());
    CHECK(verdicts["b"] == Verdicts { ClaimVerdict::InProgress });
}

TEST_CASE_FIXTURE(ClaimTrackerFixture, "claim, log unavailable, is refused at once")
{
    first.recordReadFailure();
    claim(first, "a");
    CHECK(verdicts["a"] == Verdicts { ClaimVerdict::LogUnavailable });
    CHECK_FALSE(first.nextBatch(clock.now() + std::chrono::hours(1)));
}

TEST_CASE_FIXTURE(ClaimTrackerFixture, "claim, before the first read of the log, is refused")
{
    ClaimTracker fresh(HostId("host-2"), {});
    claim(fresh, "a");
    CHECK(verdicts["a"] == Verdicts { ClaimVerdict::LogUnavailable });
}

TEST_CASE_FIXTURE(ClaimTrackerFixture, "finish, append of the outcome lost, is appended again when it was not read back in time")
{
    claim(first, "a");
    applyToBoth(append(first));
    first.finish({ ClientAccountId("norrland"), "k", RequestId("a"), BookingResult::Answered, { 201, "", "x", true } });
    append(first, false);
    clock.advance(std::chrono::minutes(1));
    first.recordRead(clock.now());
    applyToBoth(append(first));
    claim(second, "b");
    applyToBoth(append(second));
    CHECK(verdicts["b"] == Verdicts { ClaimVerdict::Replay });
}

TEST_CASE("claim, table full, refuses new keys but decides on known ones")
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    BookingLimits limits;
    limits.tableBytes = 1;
    ClaimTracker tracker(HostId("host-0"), limits);
    tracker.recordRead(clock.now());
    std::vector<ClaimVerdict> verdicts;
    const auto claim = [&](const std::string& key, const std::string& request) {
        tracker.claim(
            { ClientAccountId("norrland"), key, "f", RequestId(request), deadline }, clock.now() + deadline, [&](const ClaimDecision& decision) { verdicts.push_back(decision.verdict); }, clock.now());
    };
    claim("k", "a");
    tracker.applyBatch(*tracker.nextBatch(clock.now()), clock.now());
    tracker.recordAppend(true, clock.now());
    claim("other", "b");
    claim("k", "c");
    clock.advance(std::chrono::seconds(1));
    tracker.applyBatch(*tracker.nextBatch(clock.now()), clock.now());
    CHECK(verdicts == std::vector { ClaimVerdict::Run, ClaimVerdict::TableFull, ClaimVerdict::InProgress });
}
