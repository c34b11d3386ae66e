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

TEST_CASE_FIXTURE(SuspicionFixture, "noteFailure, first failure for long, makes the server suspect for about a second")
{
    noteFailure(suspicion, clock.now());
    CHECK(suspectFor() == 1200ms);
}

TEST_CASE_FIXTURE(SuspicionFixture, "noteFailure, failures go on, suspicion lasts longer each time")
{
    noteFailure(suspicion, clock.now());
    clock.advance(1300ms);
    noteFailure(suspicion, clock.now());
    CHECK(suspectFor() == 2400ms);
    noteFailure(suspicion, clock.now());
    CHECK(suspectFor() == 4000ms);
}

TEST_CASE_FIXTURE(SuspicionFixture, "noteFailure, several requests fail at the same moment, count once")
{
    noteFailure(suspicion, clock.now());
    clock.advance(20ms);
    noteFailure(suspicion, clock.now());
    clock.advance(20ms);
    noteFailure(suspicion, clock.now());
    CHECK(suspectFor() == 1200ms);
}

TEST_CASE_FIXTURE(SuspicionFixture, "noteSuccess, answer of a request from before the failure, clears nothing")
{
    noteFailure(suspicion, clock.now());
    noteSuccess(suspicion, clock.now() - 100ms);
    CHECK(suspicion.strikes == 1);
    clock.advance(100ms);
    noteSuccess(suspicion, clock.now());
    CHECK(suspicion.strikes == 0);
}
