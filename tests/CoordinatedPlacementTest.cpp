#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <set>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct CoordinatedPlacementFixture {
    static constexpr int slots = 6;

    ManualClock clock;
    ProcessingTimes works;
    std::vector<TrackedServer> servers;
    PlacementDemand demand;
    std::uint64_t nextNumber = 1;
    double random = 0;

    CoordinatedPlacementFixture()
    {
        clock.advance(1h);
        demand.latencyObjective = 1000ms;
        demand.timeToDeadline = 2000ms;
        works[demand.latencyObjective] = 380ms;
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
        return chooseServer(all, demand, works, clock.now(), random);
    }

    std::uint64_t placeOn(std::size_t index)
    {
        addPlacement(servers[index], demand, works, nextNumber, clock.now());
        return nextNumber++;
    }

    void placeMany(std::size_t index, int count)
    {
        for (int request = 0; request < count; ++request)
            placeOn(index);
    }

    bool end(std::size_t index, std::uint64_t number, PlacementStatus how, std::chrono::milliseconds took = 380ms, std::optional<double> load = {})
    {
        return finishPlacement(servers[index], works, { servers[index].registration.id, number, how, took, load }, clock.now()).has_value();
    }

    void fail(std::size_t index, int times)
    {
        for (int failure = 0; failure < times; ++failure)
            end(index, placeOn(index), PlacementStatus::Failed);
    }
};

} // namespace

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseKept, burst of requests at once, fills the servers evenly")
{
    for (int request = 0; request < 24; ++request) {
        const auto chosen = choose();
        REQUIRE(chosen);
        placeOn(chosen->serverIndex);
    }
    for (const TrackedServer& server : servers)
        CHECK(server.inFlightPlacements.size() == 6);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseKept, all servers full, finds no room")
{
    demand.maxLoadPerSlot = 1.5;
    for (std::size_t index = 0; index < servers.size(); ++index)
        placeMany(index, 9);
    CHECK_FALSE(choose());
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseKept, answer cannot come in time, finds no room")
{
    demand.timeToDeadline = 300ms;
    CHECK_FALSE(choose());
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseKept, excluded server is the only free one, takes another")
{
    for (std::size_t index = 1; index < servers.size(); ++index)
        placeMany(index, 5);
    demand.excludedServers = { servers[0].registration.id };
    REQUIRE(choose());
    CHECK(choose()->serverIndex != 0);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseKept, server that fails at once, gets no booking though it is empty")
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

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseKept, sound servers are full and the others fail, refuses bookings")
{
    demand.maxLoadPerSlot = 1.8;
    fail(0, 3);
    fail(1, 3);
    placeMany(2, 10);
    placeMany(3, 10);
    CHECK_FALSE(choose());
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseKept, most servers seem to fail, uses them and says what is lost")
{
    demand.maxLoadPerSlot = 1.8;
    for (std::size_t index = 0; index < 3; ++index)
        fail(index, 3);
    placeMany(3, 10);
    const auto chosen = choose();
    REQUIRE(chosen);
    CHECK(chosen->expectedLoss > 0.3);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseKept, doubted server, is tried about once a second by requests that may be repeated")
{
    fail(0, 3);
    demand.canRetry = true;
    int trials = 0;
    for (int step = 0; step < 100; ++step) {
        clock.advance(50ms);
        const auto chosen = choose();
        REQUIRE(chosen);
        const std::uint64_t number = placeOn(chosen->serverIndex);
        trials += chosen->serverIndex == 0 ? 1 : 0;
        end(chosen->serverIndex, number, chosen->serverIndex == 0 ? PlacementStatus::Failed : PlacementStatus::Succeeded);
    }
    CHECK(trials >= 4);
    CHECK(trials <= 8);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseKept, few requests, gives every server one within two seconds")
{
    demand.canRetry = true;
    // Three of them look slow: the fourth one would do alone.
    for (std::size_t index = 1; index < servers.size(); ++index) {
        servers[index].latencyRatio = 4;
        servers[index].latencyRatioUpdatedAt = clock.now();
    }
    std::vector<MonotonicTime> placedAt(servers.size(), clock.now());
    for (int step = 0; step < 100; ++step) {
        clock.advance(200ms);
        const auto chosen = choose();
        REQUIRE(chosen);
        end(chosen->serverIndex, placeOn(chosen->serverIndex), PlacementStatus::Succeeded, chosen->serverIndex == 0 ? 380ms : 1500ms);
        placedAt[chosen->serverIndex] = clock.now();
        for (const MonotonicTime at : placedAt)
            CHECK(clock.now() - at < 2s);
    }
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "chooseKept, server whose requests are overdue, gets less before any of them ends")
{
    placeMany(0, 3);
    clock.advance(1500ms);
    for (std::size_t index = 1; index < servers.size(); ++index)
        placeMany(index, 4);
    REQUIRE(choose());
    CHECK(choose()->serverIndex != 0);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "settle, slow answers, make a server slow and leave what is usual")
{
    for (int answer = 0; answer < 12; ++answer)
        end(0, placeOn(0), PlacementStatus::Succeeded, 3800ms);
    CHECK(servers[0].latencyRatio > 4);
    CHECK(works[demand.latencyObjective].count() < 1.2);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "loadOf, requests that other hosts placed, show in what the server reports")
{
    for (int answer = 0; answer < 8; ++answer)
        end(0, placeOn(0), PlacementStatus::Succeeded, 380ms, 5.0);
    CHECK(estimatedLoad(servers[0], clock.now()) > 4);
    clock.advance(10s);
    CHECK(estimatedLoad(servers[0], clock.now()) < 0.1);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "loadOf, host dies with its requests, lapses with their deadlines")
{
    placeMany(0, 6);
    clock.advance(demand.timeToDeadline + 300ms);
    REQUIRE(choose());
    CHECK(estimatedLoad(servers[0], clock.now()) == 0);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "settle, the same outcome twice, counts the request once")
{
    placeMany(0, 2);
    CHECK(end(0, 1, PlacementStatus::Cancelled));
    CHECK_FALSE(end(0, 1, PlacementStatus::Cancelled));
    CHECK(servers[0].inFlightPlacements.size() == 1);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "settle, server with busy slots says that it is full, rests it for a moment")
{
    placeMany(0, 6);
    end(0, placeOn(0), PlacementStatus::Refused);
    for (std::size_t index = 1; index < servers.size(); ++index)
        placeMany(index, 9);
    CHECK(choose()->serverIndex != 0);
    clock.advance(250ms);
    CHECK(choose()->serverIndex == 0);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "settle, server with free slots refuses, counts towards a spell of failures")
{
    end(0, placeOn(0), PlacementStatus::Refused);
    CHECK(choose());
    const double once = grayFailureProbability(servers[0].failureEstimate, clock.now());
    end(0, placeOn(0), PlacementStatus::Refused);
    end(0, placeOn(0), PlacementStatus::Refused);
    CHECK(grayFailureProbability(servers[0].failureEstimate, clock.now()) > once);
    CHECK(grayFailureProbability(servers[0].failureEstimate, clock.now()) > 0.8);
}

TEST_CASE_FIXTURE(CoordinatedPlacementFixture, "isToWait, long request with seconds to spare, leaves the last slots to short ones")
{
    works[4000ms] = 1200ms;
    demand.latencyObjective = 4000ms;
    CHECK_FALSE(shouldWaitForSlot(demand, works, 0.8));
    CHECK(shouldWaitForSlot(demand, works, 1.0));
    demand.age = 1500ms;
    CHECK_FALSE(shouldWaitForSlot(demand, works, 1.0));
    demand.age = 0ms;
    demand.latencyObjective = 1000ms;
    CHECK_FALSE(shouldWaitForSlot(demand, works, 1.5));
}
