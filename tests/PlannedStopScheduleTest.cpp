#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct PlannedStopFixture {
    PlannedStop stop { MonotonicTime { 100s }, 6000ms };

    MonotonicTime after(std::chrono::milliseconds elapsed) const { return stop.startedAt + elapsed; }
};

} // namespace

TEST_CASE_FIXTURE(PlannedStopFixture, "acceptsRequest, callers are still directed to the host, accepts any deadline")
{
    CHECK(acceptsRequest(stop, after(0ms), after(60s)));
    CHECK(acceptsRequest(stop, balancerReactedAt(stop) - 1ms, after(60s)));
}

TEST_CASE_FIXTURE(PlannedStopFixture, "acceptsRequest, balancer has reacted, accepts only deadlines before the final responses")
{
    CHECK_FALSE(acceptsRequest(stop, balancerReactedAt(stop), after(60s)));
    CHECK_FALSE(acceptsRequest(stop, balancerReactedAt(stop), finalResponsesAt(stop) + 1ms));
    CHECK(acceptsRequest(stop, balancerReactedAt(stop), finalResponsesAt(stop)));
}

TEST_CASE_FIXTURE(PlannedStopFixture, "finalResponsesAt, any grace period, lies between the start and the exit within the grace period")
{
    for (const std::chrono::milliseconds grace : { 0ms, 100ms, 500ms, 1000ms, 6000ms, 60000ms }) {
        stop.grace = grace;
        CHECK(finalResponsesAt(stop) >= stop.startedAt);
        CHECK(finalResponsesAt(stop) >= std::min(exitsAt(stop), stop.startedAt + grace * 5 / 6));
        CHECK(finalResponsesAt(stop) <= exitsAt(stop));
        CHECK(exitsAt(stop) <= stop.startedAt + grace);
    }
}

TEST_CASE_FIXTURE(PlannedStopFixture, "acceptsRequest, grace period is shorter than the balancer's reaction, accepts nothing after the final responses")
{
    stop.grace = 1000ms;
    CHECK(acceptsRequest(stop, after(0ms), after(60s)));
    CHECK_FALSE(acceptsRequest(stop, finalResponsesAt(stop), after(60s)));
}
