#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <queue>
#include <random>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

using Seconds = std::chrono::duration<double>;

// Replays steady requests on one cell of sound servers, from which every outcome arrives only once the request has ended. What is
// believed about processing times and servers must not drift away from what the servers do.
struct PlacementFeedbackFixture {
    static constexpr int slots = 6;
    static constexpr Seconds trueProcessingTime { 0.35 };

    struct RunningRequest {
        MonotonicTime endsAt {};
        std::size_t server = 0;
        std::uint64_t placementId = 0;
        std::chrono::milliseconds duration { 0 };
        bool operator<(const RunningRequest& other) const { return endsAt > other.endsAt; }
    };

    ManualClock clock;
    ProcessingTimes processingTimes;
    std::vector<TrackedServer> servers;
    std::vector<TrackedServer*> cell;
    std::vector<int> running;
    std::priority_queue<RunningRequest> requests;
    PlacementDemand demand;
    std::mt19937 random { 7 };
    std::uint64_t nextPlacementId = 1;
    int rejected = 0;

    PlacementFeedbackFixture()
    {
        clock.advance(1h);
        demand.latencyObjective = 1200ms;
        demand.timeToDeadline = 5000ms;
        demand.maxLoadPerSlot = 1.8;
    }

    void addServers(std::size_t count)
    {
        servers.resize(count);
        running.resize(count);
        for (TrackedServer& server : servers) {
            server.registration.slots = SlotCount { slots };
            server.hasAnswered = true;
            server.lastPlacedAt = clock.now();
            cell.push_back(&server);
        }
    }

    void endRequests()
    {
        while (!requests.empty() && requests.top().endsAt <= clock.now()) {
            const RunningRequest ended = requests.top();
            requests.pop();
            --running[ended.server];
            finishPlacement(servers[ended.server], processingTimes, { {}, ended.placementId, PlacementStatus::Succeeded, ended.duration, running[ended.server] }, clock.now());
        }
    }

    void addRequest()
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        const auto chosen = chooseServer(cell, demand, processingTimes, clock.now(), uniform(random));
        if (!chosen) {
            ++rejected;
            return;
        }
        const std::size_t index = chosen->serverIndex;
        addPlacement(servers[index], demand, nextPlacementId, clock.now());
        std::lognormal_distribution<double> variation(-0.045, 0.3);
        const int queued = std::max(0, ++running[index] - slots);
        const Seconds duration = trueProcessingTime * variation(random) * (1 + static_cast<double>(queued) / slots);
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(duration);
        requests.push({ clock.now() + milliseconds, index, nextPlacementId++, milliseconds });
    }

    void run(Duration time, double requestsPerSecond)
    {
        const MonotonicTime end = clock.now() + time;
        const auto interval = std::chrono::duration_cast<Duration>(Seconds(1 / requestsPerSecond));
        while (clock.now() < end) {
            clock.advance(interval);
            endRequests();
            addRequest();
        }
    }

    double believedRatio() const { return processingTimes.byObjective.at(demand.latencyObjective).mean / trueProcessingTime; }
};

} // namespace

TEST_CASE_FIXTURE(PlacementFeedbackFixture, "placement feedback, 1 to 1,000 outcomes per second at half of the slots, learned processing time stays near the true one")
{
    for (const double rate : { 1.0, 10.0, 30.0, 100.0, 300.0, 1000.0 }) {
        CAPTURE(rate);
        PlacementFeedbackFixture fixture;
        fixture.addServers(static_cast<std::size_t>(std::max(2.0, 2 * rate * trueProcessingTime.count() / slots)));
        for (int step = 0; step < 60; ++step) {
            fixture.run(1s, rate);
            if (step < 20)
                continue;
            CHECK(fixture.believedRatio() > 0.6);
            CHECK(fixture.believedRatio() < 1.7);
        }
        CHECK(fixture.rejected == 0);
    }
}

TEST_CASE_FIXTURE(PlacementFeedbackFixture, "placement feedback, learned processing time far above the deadline, comes back within seconds")
{
    addServers(12);
    processingTimes.byObjective[demand.latencyObjective].mean = 20s;
    run(5s, 100);
    rejected = 0;
    run(5s, 100);
    CHECK(rejected == 0);
    CHECK(believedRatio() < 1.7);
}

TEST_CASE_FIXTURE(PlacementFeedbackFixture, "placement feedback, every server seems twenty times slower than usual, requests are still placed")
{
    addServers(12);
    for (TrackedServer& server : servers) {
        server.latencyRatio = 20;
        server.latencyRatioUpdatedAt = clock.now();
    }
    run(2s, 100);
    rejected = 0;
    run(8s, 100);
    CHECK(rejected == 0);
    for (const TrackedServer& server : servers)
        CHECK(server.latencyRatio < 2);
}
