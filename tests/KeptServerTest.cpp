#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <set>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct KeptServerFixture {
    static constexpr int slots = 6;

    ManualClock clock;
    WorkTimes works;
    std::vector<KeptServer> servers;
    PlacementDemand demand;
    std::uint64_t nextNumber = 1;
    double random = 0;

    KeptServerFixture()
    {
        clock.advance(1h);
        demand.objective = 1000ms;
        demand.term = 2000ms;
        works[demand.objective] = 380ms;
        addServers(4);
    }

    void addServers(int count)
    {
        for (int index = 0; index < count; ++index) {
            KeptServer server;
            server.server.id = BackendServerId("s" + std::to_string(servers.size()));
            server.server.slots = SlotCount { slots };
            server.answered = true;
            server.placedAt = clock.now();
            servers.push_back(server);
        }
    }

    std::optional<KeptChoice> choose()
    {
        std::vector<KeptServer*> all;
        for (KeptServer& server : servers)
            all.push_back(&server);
        random += 0.37;
        random -= random >= 1 ? 1 : 0;
        return chooseKept(all, demand, works, clock.now(), random);
    }

    std::uint64_t placeOn(std::size_t index)
    {
        place(servers[index], demand, works, nextNumber, clock.now());
        return nextNumber++;
    }

    void placeMany(std::size_t index, int count)
    {
        for (int request = 0; request < count; ++request)
            placeOn(index);
    }

    bool end(std::size_t index, std::uint64_t number, PlacementEnd how, std::chrono::milliseconds took = 380ms, std::optional<double> load = {})
    {
        return settle(servers[index], works, { servers[index].server.id, number, how, took, load }, clock.now()).has_value();
    }

    void fail(std::size_t index, int times)
    {
        for (int failure = 0; failure < times; ++failure)
            end(index, placeOn(index), PlacementEnd::Failed);
    }
};

} // namespace

TEST_CASE_FIXTURE(KeptServerFixture, "chooseKept, burst of requests at once, fills the servers evenly")
{
    for (int request = 0; request < 24; ++request) {
        const auto chosen = choose();
        REQUIRE(chosen);
        placeOn(chosen->position);
    }
    for (const KeptServer& server : servers)
        CHECK(server.open.size() == 6);
}

TEST_CASE_FIXTURE(KeptServerFixture, "chooseKept, all servers full, finds no room")
{
    demand.mostFill = 1.5;
    for (std::size_t index = 0; index < servers.size(); ++index)
        placeMany(index, 9);
    CHECK_FALSE(choose());
}

TEST_CASE_FIXTURE(KeptServerFixture, "chooseKept, answer cannot come in time, finds no room")
{
    demand.term = 300ms;
    CHECK_FALSE(choose());
}

TEST_CASE_FIXTURE(KeptServerFixture, "chooseKept, excluded server is the only free one, takes another")
{
    for (std::size_t index = 1; index < servers.size(); ++index)
        placeMany(index, 5);
    demand.excluded = { servers[0].server.id };
    REQUIRE(choose());
    CHECK(choose()->position != 0);
}

TEST_CASE_FIXTURE(KeptServerFixture, "chooseKept, server that fails at once, gets no booking though it is empty")
{
    for (std::size_t index = 1; index < servers.size(); ++index)
        placeMany(index, 6);
    fail(0, 2);
    for (int request = 0; request < 6; ++request) {
        const auto chosen = choose();
        REQUIRE(chosen);
        CHECK(chosen->position != 0);
        placeOn(chosen->position);
    }
}

TEST_CASE_FIXTURE(KeptServerFixture, "chooseKept, sound servers are full and the others fail, refuses bookings")
{
    demand.mostFill = 1.8;
    fail(0, 3);
    fail(1, 3);
    placeMany(2, 10);
    placeMany(3, 10);
    CHECK_FALSE(choose());
}

TEST_CASE_FIXTURE(KeptServerFixture, "chooseKept, most servers seem to fail, uses them and says what is lost")
{
    demand.mostFill = 1.8;
    for (std::size_t index = 0; index < 3; ++index)
        fail(index, 3);
    placeMany(3, 10);
    const auto chosen = choose();
    REQUIRE(chosen);
    CHECK(chosen->loss > 0.3);
}

TEST_CASE_FIXTURE(KeptServerFixture, "chooseKept, doubted server, is tried about once a second by requests that may be repeated")
{
    fail(0, 3);
    demand.expendable = true;
    int trials = 0;
    for (int step = 0; step < 100; ++step) {
        clock.advance(50ms);
        const auto chosen = choose();
        REQUIRE(chosen);
        const std::uint64_t number = placeOn(chosen->position);
        trials += chosen->position == 0 ? 1 : 0;
        end(chosen->position, number, chosen->position == 0 ? PlacementEnd::Failed : PlacementEnd::Served);
    }
    CHECK(trials >= 4);
    CHECK(trials <= 8);
}

TEST_CASE_FIXTURE(KeptServerFixture, "chooseKept, few requests, gives every server one within two seconds")
{
    demand.expendable = true;
    // Three of them look slow: the fourth one would do alone.
    for (std::size_t index = 1; index < servers.size(); ++index) {
        servers[index].slowness = 4;
        servers[index].slownessAt = clock.now();
    }
    std::vector<MonotonicTime> placedAt(servers.size(), clock.now());
    for (int step = 0; step < 100; ++step) {
        clock.advance(200ms);
        const auto chosen = choose();
        REQUIRE(chosen);
        end(chosen->position, placeOn(chosen->position), PlacementEnd::Served, chosen->position == 0 ? 380ms : 1500ms);
        placedAt[chosen->position] = clock.now();
        for (const MonotonicTime at : placedAt)
            CHECK(clock.now() - at < 2s);
    }
}

TEST_CASE_FIXTURE(KeptServerFixture, "chooseKept, server whose requests are overdue, gets less before any of them ends")
{
    placeMany(0, 3);
    clock.advance(1500ms);
    for (std::size_t index = 1; index < servers.size(); ++index)
        placeMany(index, 4);
    REQUIRE(choose());
    CHECK(choose()->position != 0);
}

TEST_CASE_FIXTURE(KeptServerFixture, "settle, slow answers, make a server slow and leave what is usual")
{
    for (int answer = 0; answer < 12; ++answer)
        end(0, placeOn(0), PlacementEnd::Served, 3800ms);
    CHECK(servers[0].slowness > 4);
    CHECK(works[demand.objective].count() < 1.2);
}

TEST_CASE_FIXTURE(KeptServerFixture, "loadOf, requests that other hosts placed, show in what the server reports")
{
    for (int answer = 0; answer < 8; ++answer)
        end(0, placeOn(0), PlacementEnd::Served, 380ms, 5.0);
    CHECK(loadOf(servers[0], clock.now()) > 4);
    clock.advance(10s);
    CHECK(loadOf(servers[0], clock.now()) < 0.1);
}

TEST_CASE_FIXTURE(KeptServerFixture, "loadOf, host dies with its requests, lapses with their deadlines")
{
    placeMany(0, 6);
    clock.advance(demand.term + 300ms);
    REQUIRE(choose());
    CHECK(loadOf(servers[0], clock.now()) == 0);
}

TEST_CASE_FIXTURE(KeptServerFixture, "settle, the same outcome twice, counts the request once")
{
    placeMany(0, 2);
    CHECK(end(0, 1, PlacementEnd::Void));
    CHECK_FALSE(end(0, 1, PlacementEnd::Void));
    CHECK(servers[0].open.size() == 1);
}

TEST_CASE_FIXTURE(KeptServerFixture, "settle, server with busy slots says that it is full, rests it for a moment")
{
    placeMany(0, 6);
    end(0, placeOn(0), PlacementEnd::Refused);
    for (std::size_t index = 1; index < servers.size(); ++index)
        placeMany(index, 9);
    CHECK(choose()->position != 0);
    clock.advance(250ms);
    CHECK(choose()->position == 0);
}

TEST_CASE_FIXTURE(KeptServerFixture, "settle, server with free slots refuses, counts towards a spell of failures")
{
    end(0, placeOn(0), PlacementEnd::Refused);
    CHECK(choose());
    const double once = spellChance(servers[0].odds, clock.now());
    end(0, placeOn(0), PlacementEnd::Refused);
    end(0, placeOn(0), PlacementEnd::Refused);
    CHECK(spellChance(servers[0].odds, clock.now()) > once);
    CHECK(spellChance(servers[0].odds, clock.now()) > 0.8);
}

TEST_CASE_FIXTURE(KeptServerFixture, "isToWait, long request with seconds to spare, leaves the last slots to short ones")
{
    works[4000ms] = 1200ms;
    demand.objective = 4000ms;
    CHECK_FALSE(isToWait(demand, works, 0.8));
    CHECK(isToWait(demand, works, 1.0));
    demand.waited = 1500ms;
    CHECK_FALSE(isToWait(demand, works, 1.0));
    demand.waited = 0ms;
    demand.objective = 1000ms;
    CHECK_FALSE(isToWait(demand, works, 1.5));
}
