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

    bool end(const std::string& request, BookingResult result, RecordedResponse answer = {})
    {
        return apply(fold, BookingOutcome { ClientAccountId("norrland"), "k", RequestId(request), result, std::move(answer) });
    }
};

} // namespace

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, second claim of a running key, is in progress")
{
    CHECK(claim("a").verdict == ClaimVerdict::Run);
    CHECK(claim("b").verdict == ClaimVerdict::InProgress);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, claimant silent past its deadline, is unknown and never runs again")
{
    claim("a");
    clock.advance(std::chrono::seconds(60));
    CHECK(claim("b").verdict == ClaimVerdict::Unknown);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, key with another request, is told apart")
{
    claim("a");
    CHECK(claim("b", "other").verdict == ClaimVerdict::DifferentRequest);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, answered key, repeats the answer")
{
    const RecordedResponse answer { 201, "application/json", "{}", true };
    claim("a");
    CHECK(end("a", BookingResult::Answered, answer));
    const ClaimDecision decision = claim("b");
    CHECK(decision.verdict == ClaimVerdict::Replay);
    CHECK(decision.response == answer);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, answer too large to keep, says so")
{
    claim("a");
    end("a", BookingResult::Answered, { 201, "", "", false });
    CHECK(claim("b").verdict == ClaimVerdict::ResponseNotRecorded);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, owner that did not run, frees the key once")
{
    claim("a");
    CHECK(end("a", BookingResult::NotRun));
    CHECK(claim("b").verdict == ClaimVerdict::Run);
    CHECK_FALSE(end("a", BookingResult::NotRun));
    CHECK(claim("c").verdict == ClaimVerdict::InProgress);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, not-run of another claim, frees nothing")
{
    claim("a");
    claim("b");
    CHECK_FALSE(end("b", BookingResult::NotRun));
    CHECK(claim("c").verdict == ClaimVerdict::InProgress);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, own claim read twice, does not run twice")
{
    CHECK(claim("a").verdict == ClaimVerdict::Run);
    CHECK(claim("a").verdict == ClaimVerdict::InProgress);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, outcome after an answer, changes nothing")
{
    claim("a");
    end("a", BookingResult::Answered, { 201, "", "", true });
    CHECK_FALSE(end("a", BookingResult::NotRun));
    CHECK(claim("b").verdict == ClaimVerdict::Replay);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "forget, just before the retention ends, keeps the key")
{
    claim("a");
    clock.advance(retention - std::chrono::nanoseconds(1));
    removeExpired(fold, clock.now(), retention);
    CHECK(claim("b").verdict != ClaimVerdict::Run);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "forget, key claimed anew after it was freed, counts from the later claim")
{
    claim("a");
    end("a", BookingResult::NotRun);
    clock.advance(std::chrono::hours(20));
    claim("b");
    clock.advance(std::chrono::hours(5));
    removeExpired(fold, clock.now(), retention);
    CHECK(claim("c").verdict != ClaimVerdict::Run);
}

TEST_CASE_FIXTURE(BookingFoldFixture, "forget, everything old, leaves no memory in use")
{
    claim("a");
    end("a", BookingResult::Answered, { 201, "text/plain", "booked", true });
    clock.advance(retention);
    removeExpired(fold, clock.now(), retention);
    CHECK(fold.estimatedBytes == 0);
    CHECK(fold.bookings.empty());
}

TEST_CASE_FIXTURE(BookingFoldFixture, "apply, key claimed and freed again and again, stays bounded")
{
    for (int turn = 0; turn < 10'000; ++turn) {
        const std::string request = "r" + std::to_string(turn);
        claim(request);
        end(request, BookingResult::NotRun);
    }
    CHECK(fold.expiryQueue.size() < 100);
    CHECK(fold.estimatedBytes == 0);
}
