#include <lacewingsail/Bookings.h>

#include <doctest/doctest.h>

using namespace lacewingsail;

namespace {

constexpr std::chrono::seconds deadline { 5 };

/// \brief Two hosts over one log of which appends may be lost or late.
struct ClaimDeskFixture {
    ManualClock clock;
    ClaimDesk first { HostId("host-0"), {} };
    ClaimDesk second { HostId("host-1"), {} };
    std::map<std::string, std::vector<ClaimVerdict>> verdicts;

    ClaimDeskFixture()
    {
        clock.advance(std::chrono::hours(1));
        first.heard(clock.now());
        second.heard(clock.now());
    }

    void claim(ClaimDesk& desk, const std::string& request)
    {
        const BookingClaim claim { ClientAccountId("norrland"), "k", "f", RequestId(request), deadline };
        desk.claim(
            claim, clock.now() + deadline, [this, request](const ClaimDecision& decision) { verdicts[request].push_back(decision.verdict); }, clock.now());
    }

    BookingBatch append(ClaimDesk& desk, bool answered = true)
    {
        clock.advance(std::chrono::seconds(1));
        const auto batch = desk.nextBatch(clock.now());
        REQUIRE(batch);
        desk.appended(answered, clock.now());
        return *batch;
    }

    void readByBoth(const BookingBatch& batch)
    {
        first.read(batch, clock.now());
        second.read(batch, clock.now());
    }
};

using Verdicts = std::vector<ClaimVerdict>;

} // namespace

TEST_CASE_FIXTURE(ClaimDeskFixture, "claim, append answered but not read back, is not decided")
{
    claim(first, "a");
    append(first);
    CHECK(verdicts["a"].empty());
}

TEST_CASE_FIXTURE(ClaimDeskFixture, "claim, two hosts at once, only the first in the log runs")
{
    claim(first, "a");
    claim(second, "b");
    const BookingBatch one = append(first);
    const BookingBatch two = append(second);
    readByBoth(two);
    readByBoth(one);
    CHECK(verdicts["b"] == Verdicts { ClaimVerdict::Run });
    CHECK(verdicts["a"] == Verdicts { ClaimVerdict::InProgress });
}

TEST_CASE_FIXTURE(ClaimDeskFixture, "claim, answer of the append lost, is settled by reading")
{
    claim(first, "a");
    const BookingBatch batch = append(first, false);
    first.read(batch, clock.now());
    CHECK(verdicts["a"] == Verdicts { ClaimVerdict::Run });
    CHECK_FALSE(first.nextBatch(clock.now() + std::chrono::hours(1)));
}

TEST_CASE_FIXTURE(ClaimDeskFixture, "claim, append without answer and not found, is given up and never appended again")
{
    claim(first, "a");
    append(first, false);
    clock.advance(deadline);
    first.tick(clock.now());
    CHECK(verdicts["a"] == Verdicts { ClaimVerdict::LogUnavailable });
    first.heard(clock.now() + std::chrono::hours(1));
    CHECK_FALSE(first.nextBatch(clock.now() + std::chrono::hours(1)));
}

TEST_CASE_FIXTURE(ClaimDeskFixture, "read, claim that turns up after it was given up, does not run and frees the key")
{
    claim(first, "a");
    const BookingBatch late = append(first, false);
    clock.advance(deadline);
    first.tick(clock.now());
    readByBoth(late);
    CHECK(verdicts["a"] == Verdicts { ClaimVerdict::LogUnavailable });
    readByBoth(append(first));
    second.heard(clock.now());
    claim(second, "b");
    readByBoth(append(second));
    CHECK(verdicts["b"] == Verdicts { ClaimVerdict::Run });
}

TEST_CASE_FIXTURE(ClaimDeskFixture, "read, claim read back after its deadline, does not run")
{
    claim(first, "a");
    const BookingBatch batch = append(first);
    clock.advance(deadline);
    first.read(batch, clock.now());
    CHECK(verdicts["a"] == Verdicts { ClaimVerdict::LogUnavailable });
    CHECK(first.nextBatch(clock.now() + std::chrono::seconds(1))->outcomes.front().result == BookingResult::NotRun);
}

TEST_CASE_FIXTURE(ClaimDeskFixture, "claim, host that joins behind the log, reads what precedes its claim first")
{
    claim(first, "a");
    const BookingBatch early = append(first);
    ClaimDesk joining(HostId("host-2"), {});
    joining.heard(clock.now());
    claim(joining, "c");
    const BookingBatch own = append(joining);
    CHECK(verdicts["c"].empty());
    joining.read(early, clock.now());
    joining.read(own, clock.now());
    CHECK(verdicts["c"] == Verdicts { ClaimVerdict::InProgress });
}

TEST_CASE_FIXTURE(ClaimDeskFixture, "claim, restarted host with the same name, does not free its predecessor's key")
{
    claim(first, "a");
    const BookingBatch batch = append(first);
    ClaimDesk restarted(HostId("host-0"), {});
    restarted.read(batch, clock.now());
    restarted.heard(clock.now());
    CHECK_FALSE(restarted.nextBatch(clock.now() + std::chrono::hours(1)));
    claim(restarted, "b");
    restarted.read(append(restarted), clock.now());
    CHECK(verdicts["b"] == Verdicts { ClaimVerdict::InProgress });
}

TEST_CASE_FIXTURE(ClaimDeskFixture, "claim, log away, is refused at once")
{
    first.readFailed();
    claim(first, "a");
    CHECK(verdicts["a"] == Verdicts { ClaimVerdict::LogUnavailable });
    CHECK_FALSE(first.nextBatch(clock.now() + std::chrono::hours(1)));
}

TEST_CASE_FIXTURE(ClaimDeskFixture, "claim, before the log was heard, is refused")
{
    ClaimDesk fresh(HostId("host-2"), {});
    claim(fresh, "a");
    CHECK(verdicts["a"] == Verdicts { ClaimVerdict::LogUnavailable });
}

TEST_CASE_FIXTURE(ClaimDeskFixture, "finish, append of the outcome lost, is appended again once it was not found")
{
    claim(first, "a");
    readByBoth(append(first));
    first.finish({ ClientAccountId("norrland"), "k", RequestId("a"), BookingResult::Answered, { 201, "", "x", true } });
    append(first, false);
    clock.advance(std::chrono::minutes(1));
    first.heard(clock.now());
    readByBoth(append(first));
    claim(second, "b");
    readByBoth(append(second));
    CHECK(verdicts["b"] == Verdicts { ClaimVerdict::Replay });
}

TEST_CASE("claim, table full, refuses new keys but settles known ones")
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    BookingLimits limits;
    limits.tableBytes = 1;
    ClaimDesk desk(HostId("host-0"), limits);
    desk.heard(clock.now());
    std::vector<ClaimVerdict> verdicts;
    const auto claim = [&](const std::string& key, const std::string& request) {
        desk.claim(
            { ClientAccountId("norrland"), key, "f", RequestId(request), deadline }, clock.now() + deadline, [&](const ClaimDecision& decision) { verdicts.push_back(decision.verdict); }, clock.now());
    };
    claim("k", "a");
    desk.read(*desk.nextBatch(clock.now()), clock.now());
    desk.appended(true, clock.now());
    claim("other", "b");
    claim("k", "c");
    clock.advance(std::chrono::seconds(1));
    desk.read(*desk.nextBatch(clock.now()), clock.now());
    CHECK(verdicts == std::vector { ClaimVerdict::Run, ClaimVerdict::TableFull, ClaimVerdict::InProgress });
}
