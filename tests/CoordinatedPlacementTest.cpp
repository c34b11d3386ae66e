#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <set>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct CoordinatedPlacementFixture {
    static constexpr int slots = 6;

    ManualClock clock;
    ProcessingTimes processingTimes;
    std::vector<TrackedServer> servers;
    PlacementDemand demand;
    std::uint64_t nextPlacementId = 1;
    double random = 0;

    CoordinatedPlacementFixture()
    {
        clock.advance(1h);
        demand.latencyObjective = 1000ms;
        demand.timeToDeadline = 2000ms;
        processingTimes.byObjective[demand.latencyObjective].mean = 380ms;
        addServers(4);
    }

    void addServers(int count)
    {
        for (int index = 0; index < count; ++index) {
            TrackedServer server;
            server.registration.id = BackendServerId("s" + std::to_string(servers.size()));
            server.registration.slots = SlotCount { slots };
            server.hasAnswered = true;
            server.lastPlacedAt = clock.now();
            servers.push_back(server);
        }
    }

    std::optional<PlacementChoice> choose()
    {
        std::vector<TrackedServer*> all;
        for (TrackedServer& server : servers)
            all.push_back(&server);
        random += 0.37;
        random -= random >= 1 ? 1 : 0;
        return chooseServer(all, demand, processingTimes, clock.now(), random);
    }

    std::uint64_t placeOn(std::size_t index)
    {
        addPlacement(servers[index], demand, nextPlacementId, clock.now());
        return nextPlacementId++;
    }

    void placeMany(std::size_t index, int count)
    {
        for (int request = 0; request < count; ++request)
            placeOn(index);
    }

    bool finish(std::size_t index, std::uint64_t placementId, PlacementStatus status, std::chrono::milliseconds duration = 380ms, std::optional<double> load = {})
    {
        return finishPlacement(servers[index], processingTimes, { servers[index].registration.id, placementId, status, duration, load }, clock.now()).has_value();
    }

    void fail(std::size_t index, int times)
    {
        for (int failure = 0; failure < times; ++failure)
            finish(index, placeOn(index), PlacementStatus::Failed);
    }
};

} // namespace

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseServer, burst of requests, loads the servers evenly")
{
    for (int request = 0; request < 24; ++request) {
        const auto chosen = choose();
        REQUIRE(chosen);
        placeOn(chosen->serverIndex);
    }
    for (const TrackedServer& server : servers)
        CHECK(server.inFlightPlacements.size() == 6);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseServer, all servers at their maximum load, returns nothing")
{
    demand.maxLoadPerSlot = 1.5;
    for (std::size_t index = 0; index < servers.size(); ++index)
        placeMany(index, 9);
    CHECK_FALSE(choose());
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseServer, no answer possible before the deadline, returns nothing")
{
    demand.timeToDeadline = 300ms;
    CHECK_FALSE(choose());
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseServer, excluded server is the only free one, chooses another")
{
    for (std::size_t index = 1; index < servers.size(); ++index)
        placeMany(index, 5);
    demand.excludedServers = { servers[0].registration.id };
    REQUIRE(choose());
    CHECK(choose()->serverIndex != 0);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseServer, empty server that fails at once, gets no request that cannot be retried")
{
    for (std::size_t index = 1; index < servers.size(); ++index)
        placeMany(index, 6);
    fail(0, 2);
    for (int request = 0; request < 6; ++request) {
        const auto chosen = choose();
        REQUIRE(chosen);
        CHECK(chosen->serverIndex != 0);
        placeOn(chosen->serverIndex);
    }
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseServer, healthy servers are full and the others fail, returns nothing for a request that cannot be retried")
{
    demand.maxLoadPerSlot = 1.8;
    fail(0, 3);
    fail(1, 3);
    placeMany(2, 10);
    placeMany(3, 10);
    CHECK_FALSE(choose());
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseServer, most servers seem to fail, uses them and returns the expected loss")
{
    demand.maxLoadPerSlot = 1.8;
    for (std::size_t index = 0; index < 3; ++index)
        fail(index, 3);
    placeMany(3, 10);
    const auto chosen = choose();
    REQUIRE(chosen);
    CHECK(chosen->expectedLoss > 0.3);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseServer, suspected server, is probed about once a second by requests that can be retried")
{
    fail(0, 3);
    demand.canRetry = true;
    int probes = 0;
    for (int step = 0; step < 100; ++step) {
        clock.advance(50ms);
        const auto chosen = choose();
        REQUIRE(chosen);
        const std::uint64_t placementId = placeOn(chosen->serverIndex);
        probes += chosen->serverIndex == 0 ? 1 : 0;
        finish(chosen->serverIndex, placementId, chosen->serverIndex == 0 ? PlacementStatus::Failed : PlacementStatus::Succeeded);
    }
    CHECK(probes >= 4);
    CHECK(probes <= 8);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseServer, few requests, sends every server one within two seconds")
{
    demand.canRetry = true;
    // All servers but the first seem slow; by expected loss alone the first one would get all requests.
    for (std::size_t index = 1; index < servers.size(); ++index) {
        servers[index].latencyRatio = 4;
        servers[index].latencyRatioUpdatedAt = clock.now();
    }
    std::vector<MonotonicTime> placedAt(servers.size(), clock.now());
    for (int step = 0; step < 100; ++step) {
        clock.advance(200ms);
        const auto chosen = choose();
        REQUIRE(chosen);
        finish(chosen->serverIndex, placeOn(chosen->serverIndex), PlacementStatus::Succeeded, chosen->serverIndex == 0 ? 380ms : 1500ms);
        placedAt[chosen->serverIndex] = clock.now();
        for (const MonotonicTime at : placedAt)
            CHECK(clock.now() - at < 2s);
    }
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseServer, server whose requests are overdue, gets less before any of them ends")
{
    placeMany(0, 3);
    clock.advance(1500ms);
    for (std::size_t index = 1; index < servers.size(); ++index)
        placeMany(index, 4);
    REQUIRE(choose());
    CHECK(choose()->serverIndex != 0);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "finishPlacement, slow answers, raise the latency ratio and hardly the usual processing time")
{
    for (int answer = 0; answer < 12; ++answer)
        finish(0, placeOn(0), PlacementStatus::Succeeded, 3800ms);
    CHECK(servers[0].latencyRatio > 4);
    CHECK(processingTimes.byObjective[demand.latencyObjective].mean.count() < 1.2);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "estimatedLoad, requests placed by other hosts, are included as reported by the server")
{
    for (int answer = 0; answer < 8; ++answer)
        finish(0, placeOn(0), PlacementStatus::Succeeded, 380ms, 5.0);
    CHECK(estimatedLoad(servers[0], clock.now()) > 4);
    clock.advance(10s);
    CHECK(estimatedLoad(servers[0], clock.now()) < 0.1);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "estimatedLoad, host fails and reports no outcomes, placements expire with their deadlines")
{
    placeMany(0, 6);
    clock.advance(demand.timeToDeadline + 300ms);
    REQUIRE(choose());
    CHECK(estimatedLoad(servers[0], clock.now()) == 0);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "finishPlacement, the same outcome twice, counts the request once")
{
    placeMany(0, 2);
    CHECK(finish(0, 1, PlacementStatus::Cancelled));
    CHECK_FALSE(finish(0, 1, PlacementStatus::Cancelled));
    CHECK(servers[0].inFlightPlacements.size() == 1);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "finishPlacement, refusal by a server without free slots, excludes it for a moment")
{
    placeMany(0, 6);
    finish(0, placeOn(0), PlacementStatus::Refused);
    for (std::size_t index = 1; index < servers.size(); ++index)
        placeMany(index, 9);
    CHECK(choose()->serverIndex != 0);
    clock.advance(250ms);
    CHECK(choose()->serverIndex == 0);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "finishPlacement, refusal by a server with free slots, counts as evidence of a gray failure")
{
    finish(0, placeOn(0), PlacementStatus::Refused);
    CHECK(choose());
    const double once = grayFailureProbability(servers[0].failureEstimate, clock.now());
    finish(0, placeOn(0), PlacementStatus::Refused);
    finish(0, placeOn(0), PlacementStatus::Refused);
    CHECK(grayFailureProbability(servers[0].failureEstimate, clock.now()) > once);
    CHECK(grayFailureProbability(servers[0].failureEstimate, clock.now()) > 0.8);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "shouldWaitForSlot, long request with seconds of slack, leaves the last slots to short ones")
{
    processingTimes.byObjective[4000ms].mean = 1200ms;
    demand.latencyObjective = 4000ms;
    CHECK_FALSE(shouldWaitForSlot(demand, processingTimes, 0.8));
    CHECK(shouldWaitForSlot(demand, processingTimes, 1.0));
    demand.age = 1500ms;
    CHECK_FALSE(shouldWaitForSlot(demand, processingTimes, 1.0));
    demand.age = 0ms;
    demand.latencyObjective = 1000ms;
    CHECK_FALSE(shouldWaitForSlot(demand, processingTimes, 1.5));
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "finishPlacement, server stated that it leaves, gets no further requests")
{
    const std::uint64_t placementId = placeOn(0);
    finishPlacement(servers[0], processingTimes, { servers[0].registration.id, placementId, PlacementStatus::Succeeded, 380ms, std::nullopt, true }, clock.now());
    for (std::size_t index = 1; index < servers.size(); ++index)
        placeMany(index, 5);
    REQUIRE(choose());
    CHECK(choose()->serverIndex != 0);
    clock.advance(10s);
    demand.canRetry = true;
    REQUIRE(choose());
    CHECK(choose()->serverIndex != 0);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "finishPlacement, an earlier incarnation stated that it leaves, the present one is used")
{
    finishPlacement(servers[0], processingTimes, { servers[0].registration.id, 77, PlacementStatus::Succeeded, 380ms, std::nullopt, true }, clock.now());
    for (std::size_t index = 1; index < servers.size(); ++index)
        placeMany(index, 5);
    REQUIRE(choose());
    CHECK(choose()->serverIndex == 0);
}
