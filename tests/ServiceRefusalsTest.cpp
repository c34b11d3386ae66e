#include "CoordinatorCalls.h"

#include <lacewingsail/Exchange.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <queue>
#include <random>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct RefusalCountsFixture {
    ManualClock clock;
    ServiceRefusals service;
    std::vector<RefusalCounts> servers { 20 };
    std::mt19937 random { 3 };

    RefusalCountsFixture() { clock.advance(1h); }

    void record(std::size_t server, double refusedShare)
    {
        clock.advance(10ms);
        recordRefusal(service, servers[server], std::bernoulli_distribution(refusedShare)(random), clock.now());
    }

    void recordAll(int outcomes, double refusedShare)
    {
        for (int outcome = 0; outcome < outcomes; ++outcome)
            record(static_cast<std::size_t>(outcome) % servers.size(), refusedShare);
    }
};

// Requests on one cell of a service at the cell's coordinator. Servers refuse at once, and answer once they have worked. A refused
// request is sent to another server as long as the retry budget allows.
struct RefusingServiceFixture {
    static constexpr int serverCount = 20;
    static constexpr int slots = 6;
    static constexpr int maxTries = 5;
    static constexpr std::chrono::milliseconds workTime { 350 };
    static constexpr std::chrono::milliseconds refusalTime { 5 };

    struct Request {
        PlacementDemand demand;
        int tries = 0;
    };
    struct Ending {
        MonotonicTime at {};
        PlacementOutcome outcome;
        Request request;
        bool operator<(const Ending& other) const { return at > other.at; }
    };
    struct Seen {
        int arrivals = 0;
        int served = 0;
        int turnedAway = 0;
        int withoutRoom = 0;
        int retries = 0;
        std::map<BackendServerId, int> placements;

        int at(int index) const
        {
            const auto found = placements.find(BackendServerId("i-" + std::to_string(index)));
            return found == placements.end() ? 0 : found->second;
        }
        int least() const
        {
            return placements.size() < serverCount ? 0 : std::ranges::min_element(placements, {}, &std::pair<const BackendServerId, int>::second)->second;
        }
    };

    ManualClock clock;
    GatewayBounds bounds;
    ServerRegistry registry;
    IdleEventLoop loop;
    PlacementCoordinator coordinator { registry, bounds, loop, clock, 100 };
    PlacementCell cell { ServiceId("desk"), ZoneId("a"), 0, 1 };
    std::map<BackendServerId, double> refusedShares;
    std::map<BackendServerId, int> running;
    std::priority_queue<Ending> endings;
    std::mt19937 random { 5 };
    Seen seen;

    RefusingServiceFixture()
    {
        clock.advance(1h);
        for (int index = 0; index < serverCount; ++index) {
            RegisteredServer server;
            server.id = BackendServerId("i-" + std::to_string(index));
            server.service = cell.service;
            server.zone = cell.zone;
            server.endpoint = { "10.0.1.1", 80 };
            server.slots = SlotCount { slots };
            server.startedAt = 1s;
            server.heartbeat = 1;
            registry.apply({ server.id, { {}, LogOffset { static_cast<std::uint64_t>(index + 1) } }, server, std::nullopt }, StoreHealth::Healthy, clock.now());
        }
        coordinator.update();
        run(3s, 150);
    }

    void refuseAt(int index, double share) { refusedShares[BackendServerId("i-" + std::to_string(index))] = share; }

    void refuseAtAll(double share)
    {
        for (int index = 0; index < serverCount; ++index)
            refuseAt(index, share);
    }

    PlacementDemand makeDemand() const
    {
        PlacementDemand demand;
        demand.service = cell.service;
        demand.latencyObjective = 1000ms;
        demand.timeToDeadline = 3000ms;
        demand.maxLoadPerSlot = 1.5;
        return demand;
    }

    void place(Request request)
    {
        request.demand.isRetry = request.tries > 0;
        const auto decision = decideAtOnce(coordinator, cell, request.demand);
        REQUIRE(decision);
        if (!decision->server) {
            seen.withoutRoom += decision->retryBudgetExhausted ? 0 : 1;
            seen.turnedAway += 1;
            return;
        }
        const BackendServerId server = *decision->server;
        seen.placements[server] += 1;
        seen.retries += request.tries > 0 ? 1 : 0;
        ++request.tries;
        request.demand.excludedServers.push_back(server);
        const bool refused = std::bernoulli_distribution(refusedShares[server])(random);
        Ending ending { clock.now() + (refused ? refusalTime : workTime), { server, decision->placementId, refused ? PlacementStatus::Refused : PlacementStatus::Succeeded, refused ? refusalTime : workTime, std::nullopt, false }, std::move(request) };
        ending.outcome.reportedLoad = running[server];
        running[server] += refused ? 0 : 1;
        endings.push(std::move(ending));
    }

    void endRequests()
    {
        while (!endings.empty() && endings.top().at <= clock.now()) {
            const Ending ended = endings.top();
            endings.pop();
            coordinator.recordOutcomes(std::span(&ended.outcome, 1));
            if (ended.outcome.status == PlacementStatus::Succeeded) {
                --running[ended.outcome.server];
                seen.served += 1;
            } else if (ended.request.tries < maxTries) {
                place(ended.request);
            } else {
                seen.turnedAway += 1;
            }
        }
    }

    Seen run(Duration time, double requestsPerSecond)
    {
        seen = {};
        const MonotonicTime end = clock.now() + time;
        const auto interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / requestsPerSecond));
        while (clock.now() < end) {
            clock.advance(interval);
            endRequests();
            seen.arrivals += 1;
            place({ makeDemand(), 0 });
        }
        return seen;
    }
};

} // namespace

TEST_CASE_FIXTURE(RefusalCountsFixture, "refusedShare, all servers refuse a part, follows it within some tens of outcomes")
{
    recordAll(200, 0);
    CHECK(refusedShare(service, clock.now()) == 0);
    recordAll(80, 0.55);
    CHECK(refusedShare(service, clock.now()) > 0.35);
    CHECK(refusedShare(service, clock.now()) < 0.75);
    CHECK(refusesAlike(service, clock.now()));
    recordAll(80, 0);
    CHECK(refusedShare(service, clock.now()) < 0.12);
    CHECK_FALSE(refusesAlike(service, clock.now()));
}

TEST_CASE_FIXTURE(RefusalCountsFixture, "refusedShare, no outcomes any more, is forgotten with time")
{
    recordAll(200, 0.6);
    CHECK(refusesAlike(service, clock.now()));
    clock.advance(20s);
    CHECK(refusedShare(service, clock.now()) < 0.01);
    CHECK_FALSE(refusesAlike(service, clock.now()));
}

TEST_CASE_FIXTURE(RefusalCountsFixture, "refusesAlike, one server refuses all, is false")
{
    recordAll(100, 0);
    for (int outcome = 0; outcome < 200; ++outcome) {
        record(0, 1);
        record(static_cast<std::size_t>(1 + outcome % 3), 0);
    }
    CHECK(refusedShare(service, clock.now()) > 0.4);
    CHECK_FALSE(refusesAlike(service, clock.now()));
    CHECK(refusedShareOfOthers(service, servers[0], clock.now()) < 0.01);
}

TEST_CASE("recordRefusalWithRoom, others refuse as much, is hardly evidence against the server")
{
    ManualClock clock;
    clock.advance(1h);
    GrayFailureEstimate alone;
    GrayFailureEstimate alike;
    std::mt19937 random(11);
    std::bernoulli_distribution refuses(0.55);
    double highest = 0;
    for (int outcome = 0; outcome < 400; ++outcome) {
        clock.advance(50ms);
        if (refuses(random)) {
            recordRefusalWithRoom(alone, 0, clock.now());
            recordRefusalWithRoom(alike, 0.55, clock.now());
        } else {
            recordOutcome(alone, false, clock.now());
            recordOutcome(alike, false, clock.now());
        }
        highest = std::max(highest, grayFailureProbability(alike, clock.now()));
    }
    CHECK(highest < 0.3);
    CHECK(grayFailureProbability(alone, clock.now()) > 0.6);
}

TEST_CASE("retryDelayAfterAlikeRefusal, short objective, leaves most of its time")
{
    for (const auto objective : { 500ms, 600ms, 1000ms }) {
        const RefusedRetryDelay retry = retryDelayAfterAlikeRefusal(objective);
        CHECK(retry.delay.count() > 0);
        CHECK(retry.delay + retry.jitter <= objective / 8);
    }
    CHECK(retryDelayAfterAlikeRefusal(0ms).delay.count() > 0);
    CHECK(retryDelayAfterAlikeRefusal(60s).delay + retryDelayAfterAlikeRefusal(60s).jitter <= 250ms);
}

TEST_CASE_FIXTURE(RefusingServiceFixture, "service refuses alike, servers have room, all are used as before and the retry budget holds")
{
    refuseAtAll(0.55);
    int retries = 0;
    int arrivals = 0;
    std::map<BackendServerId, int> placements;
    for (int second = 0; second < 8; ++second) {
        CAPTURE(second);
        const Seen now = run(1s, 150);
        CHECK(now.withoutRoom == 0);
        CHECK(now.least() > 0);
        CHECK(now.served >= 0.4 * now.arrivals);
        retries += now.retries;
        arrivals += now.arrivals;
        for (const auto& [server, count] : now.placements)
            placements[server] += count;
    }
    for (const auto& [server, count] : placements) {
        CHECK(count * serverCount >= 0.6 * (arrivals + retries));
        CHECK(count * serverCount <= 1.6 * (arrivals + retries));
    }
    CHECK(retries <= bounds.retryRatio * arrivals + bounds.retrySlack);
    CHECK(retries >= 0.5 * bounds.retryRatio * arrivals);
    const auto decision = decideAtOnce(coordinator, cell, makeDemand());
    REQUIRE(decision);
    CHECK(decision->refusedShare > 0.35);
    CHECK(decision->refusedShare < 0.75);
}

TEST_CASE_FIXTURE(RefusingServiceFixture, "service refuses alike, ends, all requests are served within a second")
{
    refuseAtAll(0.55);
    run(8s, 150);
    refuseAtAll(0);
    run(1s, 150);
    const Seen after = run(1s, 150);
    CHECK(after.turnedAway == 0);
    CHECK(after.least() * serverCount >= 0.5 * after.arrivals);
    CHECK(decideAtOnce(coordinator, cell, makeDemand())->refusedShare == 0);
}

TEST_CASE_FIXTURE(RefusingServiceFixture, "one server refuses, others don't, it is found within some requests and left alone")
{
    refuseAt(0, 0.55);
    run(3s, 150);
    const Seen now = run(4s, 150);
    CHECK(now.at(0) <= 12);
    CHECK(now.withoutRoom == 0);
    CHECK(now.turnedAway == 0);
    CHECK(decideAtOnce(coordinator, cell, makeDemand())->refusedShare == 0);
}

TEST_CASE_FIXTURE(RefusingServiceFixture, "some servers refuse nearly all while all refuse a part, those get less")
{
    refuseAtAll(0.3);
    for (int index = 0; index < 3; ++index)
        refuseAt(index, 0.97);
    run(2s, 150);
    const Seen now = run(6s, 150);
    int atWorst = 0;
    for (int index = 0; index < 3; ++index)
        atWorst += now.at(index);
    CHECK(atWorst <= 3 * 0.4 * now.arrivals / serverCount);
    for (int index = 3; index < serverCount; ++index)
        CHECK(now.at(index) * serverCount >= 0.5 * now.arrivals);
}
