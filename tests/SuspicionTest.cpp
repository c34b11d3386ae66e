#include <lacewingsail/Exchange.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct SuspicionFixture {
    ManualClock clock;
    Suspicion suspicion;

    SuspicionFixture() { clock.advance(1h); }

    Duration suspectFor()
    {
        const MonotonicTime begin = clock.now();
        while (isSuspect(suspicion, clock.now()))
            clock.advance(10ms);
        return clock.now() - begin;
    }
};

} // namespace

TEST_CASE_FIXTURE(SuspicionFixture, "noteFailure, single failure, makes the server suspect for a second")
{
    noteFailure(suspicion, clock.now());
    CHECK(suspectFor() == 1s);
}

TEST_CASE_FIXTURE(SuspicionFixture, "noteFailure, failures go on, prolong the suspicion")
{
    noteFailure(suspicion, clock.now());
    clock.advance(700ms);
    noteFailure(suspicion, clock.now());
    CHECK(suspectFor() == 1s);
}

TEST_CASE_FIXTURE(SuspicionFixture, "noteFailure, older news comes late, does not shorten the suspicion")
{
    noteFailure(suspicion, clock.now());
    noteFailure(suspicion, clock.now() - 500ms);
    CHECK(suspectFor() == 1s);
}
