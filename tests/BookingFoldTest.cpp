#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;

namespace {

constexpr std::chrono::hours retention { 24 };

struct BookingFoldFixture {
    ManualClock clock;
    BookingFold fold;

    ClaimDecision claim(const std::string& request, const std::string& fingerprint = "f", const std::string& key = "k")
    {
        return apply(fold, BookingClaim { ClientAccountId("norrland"), key, fingerprint, RequestId(request), std::chrono::seconds(5) }, clock.now());
    }

    bool finish(const std::string& request, BookingResult result, RecordedResponse response = {})
    {
        return apply(fold, BookingOutcome { ClientAccountId("norrland"), "k", RequestId(request), result, std::move(response) });
    }
};

} // namespace

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, second claim while the first request runs, is in progress")
{
    CHECK(claim("a").verdict == ClaimVerdict::Run);
    CHECK(claim("b").verdict == ClaimVerdict::InProgress);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, no outcome after the claim's deadline, is unknown and never runs again")
{
    claim("a");
    clock.advance(std::chrono::seconds(60));
    CHECK(claim("b").verdict == ClaimVerdict::Unknown);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, key reused for another request, is rejected as a different request")
{
    claim("a");
    CHECK(claim("b", "other").verdict == ClaimVerdict::DifferentRequest);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, answered key, replays the response")
{
    const RecordedResponse response { 201, "application/json", "{}", true };
    claim("a");
    CHECK(finish("a", BookingResult::Answered, response));
    const ClaimDecision decision = claim("b");
    CHECK(decision.verdict == ClaimVerdict::Replay);
    CHECK(decision.response == response);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, response not stored, reports that it was not recorded")
{
    claim("a");
    finish("a", BookingResult::Answered, { 201, "", "", false });
    CHECK(claim("b").verdict == ClaimVerdict::ResponseNotRecorded);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, owner did not run, releases the key exactly once")
{
    claim("a");
    CHECK(finish("a", BookingResult::NotRun));
    CHECK(claim("b").verdict == ClaimVerdict::Run);
    CHECK_FALSE(finish("a", BookingResult::NotRun));
    CHECK(claim("c").verdict == ClaimVerdict::InProgress);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, outcome not-run of another claim, does not release the key")
{
    claim("a");
    claim("b");
    CHECK_FALSE(finish("b", BookingResult::NotRun));
    CHECK(claim("c").verdict == ClaimVerdict::InProgress);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, owner's claim read twice, does not run twice")
{
    CHECK(claim("a").verdict == ClaimVerdict::Run);
    CHECK(claim("a").verdict == ClaimVerdict::InProgress);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, second outcome after a response, has no effect")
{
    claim("a");
    finish("a", BookingResult::Answered, { 201, "", "", true });
    CHECK_FALSE(finish("a", BookingResult::NotRun));
    CHECK(claim("b").verdict == ClaimVerdict::Replay);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "removeExpired, just before the retention ends, keeps the key")
{
    claim("a");
    clock.advance(retention - std::chrono::nanoseconds(1));
    removeExpired(fold, clock.now(), retention);
    CHECK(claim("b").verdict != ClaimVerdict::Run);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "removeExpired, key claimed again after its release, counts from the later claim")
{
    claim("a");
    finish("a", BookingResult::NotRun);
    clock.advance(std::chrono::hours(20));
    claim("b");
    clock.advance(std::chrono::hours(5));
    removeExpired(fold, clock.now(), retention);
    CHECK(claim("c").verdict != ClaimVerdict::Run);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "removeExpired, all keys expired, leaves no memory in use")
{
    claim("a");
    finish("a", BookingResult::Answered, { 201, "text/plain", "booked", true });
    clock.advance(retention);
    removeExpired(fold, clock.now(), retention);
    CHECK(fold.estimatedBytes == 0);
    CHECK(fold.bookings.empty());
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, key claimed and released repeatedly, keeps the expiry queue bounded")
{
    for (int round = 0; round < 10'000; ++round) {
        const std::string request = "r" + std::to_string(round);
        claim(request);
        finish(request, BookingResult::NotRun);
    }
    CHECK(fold.expiryQueue.size() < 100);
    CHECK(fold.estimatedBytes == 0);
}
