#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <cmath>
#include <random>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

using Seconds = std::chrono::duration<double>;

struct ProcessingTimesFixture {
    static constexpr std::chrono::milliseconds objective { 1000 };

    ManualClock clock;
    ProcessingTimes times;
    WorkKind preview = workKind(RouteId("preview"));
    WorkKind print = workKind(RouteId("print"));
    std::mt19937 random { 3 };

    ProcessingTimesFixture() { clock.advance(1h); }

    void record(WorkKind kind, Seconds sample, int count = 1)
    {
        for (int index = 0; index < count; ++index) {
            clock.advance(10ms);
            recordProcessingTime(times, kind, objective, sample, clock.now());
        }
    }

    double usual(WorkKind kind) const { return usualProcessingTime(times, kind, objective).count(); }
    bool isNear(WorkKind kind, double expected) const { return std::abs(usual(kind) - expected) <= 0.08 * expected; }
    double cautious(WorkKind kind) const { return cautiousProcessingTime(times, kind, objective).count(); }
};

} // namespace

TEST_CASE_FIXTURE(ProcessingTimesFixture, "usualProcessingTime, two routes with one objective, are told apart")
{
    std::lognormal_distribution<double> variation(-0.02, 0.2);
    for (int request = 0; request < 300; ++request) {
        record(preview, 230ms * variation(random));
        record(print, 300ms * variation(random));
    }
    CHECK(isNear(preview, 0.23));
    CHECK(isNear(print, 0.3));
    CHECK(cautious(preview) > usual(preview) * 1.05);
    CHECK(cautious(preview) < usual(preview) * 1.4);
}

TEST_CASE_FIXTURE(ProcessingTimesFixture, "usualProcessingTime, route without outcomes, starts from its service's other routes of the objective")
{
    CHECK(isNear(print, 0.3));
    record(preview, 120ms, 200);
    CHECK(isNear(print, 0.12));
    CHECK(usualProcessingTime(times, print, 2000ms).count() == doctest::Approx(0.6));
    CHECK(isNear(WorkKind {}, 0.12));
}

TEST_CASE_FIXTURE(ProcessingTimesFixture, "recordProcessingTime, a few very long samples, move the usual time little")
{
    record(preview, 200ms, 100);
    record(preview, 60s, 3);
    CHECK(usual(preview) < 0.3);
    CHECK(cautious(preview) < 0.4);
    record(preview, 200ms, 100);
    CHECK(isNear(preview, 0.2));
}

TEST_CASE_FIXTURE(ProcessingTimesFixture, "usualProcessingTime, samples beyond the objective, is bounded by it")
{
    record(preview, 5s, 400);
    CHECK(isNear(preview, 1));
    CHECK(cautious(preview) == doctest::Approx(1));
    record(preview, 250ms, 60);
    CHECK(usual(preview) < 0.4);
}

TEST_CASE_FIXTURE(ProcessingTimesFixture, "recordProcessingTime, thousands of routes, keeps a bounded number and those in use")
{
    for (int route = 0; route < 5000; ++route) {
        record(preview, 150ms);
        record(workKind(RouteId("route-" + std::to_string(route))), 600ms);
    }
    CHECK(times.byKind.size() <= 512);
    CHECK(times.byKind.contains(preview.value));
    CHECK(isNear(preview, 0.15));
}

TEST_CASE_FIXTURE(ProcessingTimesFixture, "forgetUnusedKinds, value that keeps its requests from being placed, is forgotten")
{
    record(preview, 5s, 100);
    CHECK(usual(preview) > 0.9);
    clock.advance(31s);
    forgetUnusedKinds(times, clock.now());
    CHECK(isNear(preview, 0.3));
}

TEST_CASE_FIXTURE(ProcessingTimesFixture, "chooseServer, two routes with one objective, the longer one is refused where only the shorter one ends in time")
{
    record(preview, 230ms, 100);
    record(print, 400ms, 100);
    TrackedServer server;
    server.registration.slots = SlotCount { 6 };
    server.hasAnswered = true;
    server.lastPlacedAt = clock.now();
    TrackedServer* servers[] = { &server };
    PlacementDemand demand;
    demand.latencyObjective = objective;
    demand.timeToDeadline = 320ms;
    demand.route = RouteId("preview");
    CHECK(chooseServer(servers, demand, times, clock.now(), 0));
    demand.route = RouteId("print");
    CHECK_FALSE(chooseServer(servers, demand, times, clock.now(), 0));
}

TEST_CASE_FIXTURE(ProcessingTimesFixture, "finishPlacement, outcomes of two routes, teach each its own and leave the server's latency ratio at one")
{
    TrackedServer server;
    server.registration.slots = SlotCount { 6 };
    PlacementDemand demand;
    demand.latencyObjective = objective;
    demand.timeToDeadline = 3000ms;
    for (std::uint64_t id = 1; id <= 400; ++id) {
        const bool isPreview = id % 2 == 0;
        const auto duration = isPreview ? 230ms : 460ms;
        demand.route = RouteId(isPreview ? "preview" : "print");
        addPlacement(server, demand, id, clock.now());
        clock.advance(duration);
        finishPlacement(server, times, { {}, id, PlacementStatus::Succeeded, duration, std::nullopt }, clock.now());
    }
    CHECK(isNear(preview, 0.23));
    CHECK(isNear(print, 0.46));
    CHECK(server.latencyRatio > 0.9);
    CHECK(server.latencyRatio < 1.1);
}
