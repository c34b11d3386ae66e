#include "CoordinatorCalls.h"

#include <PlatformAdapter.h>

#include <lacewingsail/Exchange.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <random>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

constexpr RequestsPerSecond coldRate { 4.7 };
// 4.7 x 1.5 + 8, as the operators state it.
constexpr double statedBound = 15.05;

GatewayBounds statedBounds()
{
    GatewayBounds bounds;
    bounds.coldOvershoot = 1.5;
    bounds.coldSlack = 8;
    return bounds;
}

PublishedConfiguration configurationWith(RequestsPerSecond rate)
{
    PublishedConfiguration published;
    published.version = ConfigurationVersion { 1 };
    Service service;
    service.id = ServiceId("desk");
    service.coldRate = rate;
    published.configuration.services.push_back(service);
    return published;
}

/// \returns the most of the instants that lie within one second.
std::size_t mostInOneSecond(std::vector<MonotonicTime> times)
{
    std::ranges::sort(times);
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= 1s)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// \brief A host of the fleet with its view of the others and of the servers.
struct Host {
    Host(const LiveHost& self, RequestsPerSecond rate, const GatewayBounds& bounds, const Clock& clock)
        : directory(self, clock.now())
        , active([rate](const std::string&) { return configurationWith(rate); }, clock)
        , limiter(directory, active, bounds, clock)
        , coordinator(registry, bounds, loop, clock, 1)
    {
        active.applyIfNewer("x", ActiveConfiguration::storeSource);
        coordinator.setColdServerLimiter(limiter);
    }

    FleetDirectory directory;
    ActiveConfiguration active;
    ServerRegistry registry;
    ColdServerLimiter limiter;
    IdleEventLoop loop;
    PlacementCoordinator coordinator;
};

struct ColdServerFixture {
    ManualClock clock;
    GatewayBounds bounds = statedBounds();
    std::vector<std::unique_ptr<Host>> hosts;
    /// Hosts that run and are not cut off from the others, by their group.
    std::vector<int> groups;
    std::map<BackendServerId, std::vector<MonotonicTime>> placed;
    std::map<ZoneId, int> servedIn;
    PlacementCell cell { ServiceId("desk"), ZoneId("a"), 0, 1 };
    std::mt19937 random { 7 };
    std::uint64_t offset = 1;
    RequestsPerSecond rate = coldRate;

    ColdServerFixture() { clock.advance(1h); }

    void addHosts(std::size_t count, const std::string& zone = "a")
    {
        for (std::size_t index = 0; index < count; ++index) {
            const std::string id = "h-" + std::to_string(hosts.size());
            hosts.push_back(std::make_unique<Host>(LiveHost { HostId(id), ZoneId(zone), { "10.0.0.1", 80 }, 0.5 }, rate, bounds, clock));
            groups.push_back(0);
        }
    }

    /// All hosts that run have been up for long and know each other.
    void establish()
    {
        for (int step = 0; step < 80; ++step)
            advance(250ms);
    }

    void advance(Duration time)
    {
        clock.advance(time);
        for (std::size_t to = 0; to < hosts.size(); ++to) {
            hosts[to]->directory.recordFleetSize({ hosts.size(), clock.now() });
            for (std::size_t from = 0; from < hosts.size(); ++from) {
                if (from != to && groups[from] >= 0 && groups[from] == groups[to])
                    hosts[to]->directory.recordAlive(hosts[from]->directory.self(), clock.now(), hosts[from]->directory.startedAt(), false);
            }
        }
    }

    void addServer(const std::string& id, std::chrono::milliseconds warmupLeft, const std::string& zone = "a")
    {
        RegisteredServer server;
        server.id = BackendServerId(id);
        server.service = cell.service;
        server.zone = ZoneId(zone);
        server.endpoint = { "10.0.1.1", 80 };
        server.slots = SlotCount { 3 };
        server.startedAt = 1s;
        server.heartbeat = offset;
        server.warmupLeft = warmupLeft;
        const StorePosition position { {}, LogOffset { offset++ } };
        for (const auto& host : hosts) {
            if (host->registry.apply({ server.id, position, server, std::nullopt }, StoreHealth::Healthy, clock.now()))
                host->coordinator.update();
        }
    }

    PlacementDemand demand() const
    {
        PlacementDemand result;
        result.service = cell.service;
        result.latencyObjective = 600ms;
        result.timeToDeadline = 2000ms;
        result.maxLoadPerSlot = 1.8;
        result.canRetry = true;
        return result;
    }

    /// Asks a host to place a request, which is answered at once.
    bool place(Host& host, const PlacementCell& asked)
    {
        const auto decision = decideAtOnce(host.coordinator, asked, demand());
        if (!decision || !decision->server)
            return false;
        placed[*decision->server].push_back(clock.now());
        ++servedIn[asked.zone];
        PlacementOutcome outcome;
        outcome.server = *decision->server;
        outcome.placementId = decision->placementId;
        outcome.status = PlacementStatus::Succeeded;
        outcome.duration = 100ms;
        host.coordinator.recordOutcomes(std::span(&outcome, 1));
        return true;
    }

    bool place(std::size_t host) { return groups[host] >= 0 && place(*hosts[host], cell); }

    /// A request of a host that reaches no coordinator.
    bool placeLocally(Host& host, const BackendServerId& server, RecentlyPlaced& recently)
    {
        if (!host.limiter.mayPlace(server, recently, host.limiter.uncoordinatedPart(cell.service)))
            return false;
        countPlacement(recently, clock.now());
        placed[server].push_back(clock.now());
        return true;
    }

    std::size_t mostInOneSecond() const
    {
        std::size_t most = 0;
        for (const auto& [id, times] : placed)
            most = std::max(most, ::mostInOneSecond(times));
        return most;
    }

    std::size_t placedInAll() const
    {
        std::size_t sum = 0;
        for (const auto& [id, times] : placed)
            sum += times.size();
        return sum;
    }
};

} // namespace

TEST_CASE("coldServerPart, any rate, parts of all roles add up to the bound at most")
{
    for (int bound = 0; bound < 200; ++bound) {
        const double first = coldServerPart(bound, ColdServerSender::FirstCoordinator, { 1, {} }).requests;
        const double second = coldServerPart(bound, ColdServerSender::SecondCoordinator, { 1, {} }).requests;
        const double others = coldServerPart(bound, ColdServerSender::Uncoordinated, { 1, {} }).requests;
        CHECK(first + second + others <= bound);
        CHECK((bound == 0 || first >= 1));
    }
}

TEST_CASE("coldServerBound, as stated, is rounded down; without a rate there is none")
{
    CHECK(coldServerBound(coldRate, statedBounds()) == 15);
    CHECK_FALSE(coldServerBound({}, statedBounds()));
}

TEST_CASE("mayPlaceOnColdServer, sender took over a moment ago, places nothing at first")
{
    ManualClock clock;
    clock.advance(1h);
    const ColdServerPart part { 8, clock.now() };
    CHECK_FALSE(mayPlaceOnColdServer({}, part, 0, clock.now() + coldServerWindow - 1ms));
    CHECK(mayPlaceOnColdServer({}, part, 0, clock.now() + coldServerWindow));
}

TEST_CASE_FIXTURE(ColdServerFixture, "cold server, demand of any size, stays within the bound in every second")
{
    addHosts(3);
    establish();
    addServer("i-1", 60s);
    std::uniform_int_distribution<int> burst(0, 40);
    for (int step = 0; step < 1000; ++step) {
        advance(std::chrono::milliseconds(5 + burst(random)));
        for (int request = burst(random); request > 0; --request)
            place(static_cast<std::size_t>(request) % hosts.size());
    }
    CHECK(static_cast<double>(mostInOneSecond()) <= statedBound);
    // It bears its rate, and the coordinators use it.
    CHECK(static_cast<double>(placedInAll()) > coldRate.value * 20);
}

TEST_CASE_FIXTURE(ColdServerFixture, "cold server, no rate stated, is not bounded")
{
    rate = {};
    addHosts(1);
    establish();
    addServer("i-1", 60s);
    for (int step = 0; step < 100; ++step) {
        advance(10ms);
        place(0);
    }
    CHECK(static_cast<double>(mostInOneSecond()) > statedBound);
}

TEST_CASE_FIXTURE(ColdServerFixture, "cold server, hosts cut into two parts, stays within the bound before, at and after the cut")
{
    addHosts(12);
    establish();
    addServer("i-1", 120s);
    const auto run = [&](int steps) {
        for (int step = 0; step < steps; ++step) {
            advance(20ms);
            for (std::size_t host = 0; host < hosts.size(); ++host)
                place(host);
        }
    };
    run(100);
    for (std::size_t host = 0; host < 5; ++host)
        groups[host] = 1;
    run(1000);
    std::ranges::fill(groups, 0);
    run(1000);
    CHECK(static_cast<double>(mostInOneSecond()) <= statedBound);
}

TEST_CASE_FIXTURE(ColdServerFixture, "cold server, coordinator killed during its ramp, successor stays within the bound and goes on")
{
    addHosts(6);
    establish();
    addServer("i-1", 120s);
    const auto run = [&](int steps) {
        for (int step = 0; step < steps; ++step) {
            advance(20ms);
            for (std::size_t host = 0; host < hosts.size(); ++host)
                place(host);
        }
    };
    run(100);
    const auto first = std::ranges::find_if(hosts, [&](const auto& host) {
        const CellAuthority known = host->directory.cellAuthority(cell.zone, coordinatorKey(cell), clock.now());
        return known.authority.share > 0 && known.role == ColdServerSender::FirstCoordinator;
    });
    REQUIRE(first != hosts.end());
    groups[static_cast<std::size_t>(first - hosts.begin())] = -1;
    const std::size_t before = placedInAll();
    run(100);
    CHECK(placedInAll() > before);
    run(900);
    CHECK(static_cast<double>(mostInOneSecond()) <= statedBound);
}

TEST_CASE_FIXTURE(ColdServerFixture, "cold server, 111 hosts without coordinator, stays within the bound")
{
    addHosts(111);
    establish();
    addServer("i-1", 120s);
    std::vector<RecentlyPlaced> recently(hosts.size());
    for (int step = 0; step < 600; ++step) {
        clock.advance(50ms);
        for (std::size_t host = 0; host < hosts.size(); ++host)
            placeLocally(*hosts[host], BackendServerId("i-1"), recently[host]);
    }
    CHECK(static_cast<double>(mostInOneSecond()) <= statedBound);
    CHECK(placedInAll() > 0);
}

TEST_CASE_FIXTURE(ColdServerFixture, "cold server, both coordinators and all other hosts place at once, stays within the bound")
{
    addHosts(111);
    establish();
    addServer("i-1", 120s);
    std::vector<RecentlyPlaced> recently(hosts.size());
    std::vector<std::size_t> coordinators;
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        if (hosts[host]->directory.cellAuthority(cell.zone, coordinatorKey(cell), clock.now()).authority.share > 0)
            coordinators.push_back(host);
    }
    REQUIRE(coordinators.size() == 2);
    for (int step = 0; step < 600; ++step) {
        clock.advance(100ms);
        if (step % 40 == 0)
            advance(0ms);
        for (const std::size_t host : coordinators) {
            while (place(host)) { }
        }
        for (std::size_t host = 0; host < hosts.size(); ++host)
            placeLocally(*hosts[host], BackendServerId("i-1"), recently[host]);
    }
    CHECK(static_cast<double>(mostInOneSecond()) <= statedBound);
}

TEST_CASE_FIXTURE(ColdServerFixture, "warm server, turns cold again in the same incarnation, is bounded from then on")
{
    addHosts(1);
    establish();
    addServer("i-1", 0s);
    const auto run = [&] {
        placed.clear();
        for (int step = 0; step < 200; ++step) {
            advance(10ms);
            place(0);
        }
    };
    run();
    CHECK(static_cast<double>(mostInOneSecond()) > statedBound);
    addServer("i-1", 3s);
    run();
    CHECK(static_cast<double>(mostInOneSecond()) <= statedBound);
}

TEST_CASE_FIXTURE(ColdServerFixture, "registry, server turned cold, tells hosts that have its earlier record")
{
    addHosts(1);
    addServer("i-1", 0s);
    const StorePosition before { {}, LogOffset { offset } };
    clock.advance(10s);
    addServer("i-1", 3s);
    const auto changes = hosts[0]->registry.changesSince(before, clock.now());
    REQUIRE(changes);
    REQUIRE(changes->size() == 1);
    CHECK(changes->front().server->warmupLeft == 3s);
}

TEST_CASE("configuration, rate of cold servers negative or absurd, is skipped and the last valid one holds")
{
    ManualClock clock;
    ActiveConfiguration active(platform_adapter::decodeConfiguration, clock);
    const auto configuration = [](const std::string& version, const std::string& rate) {
        return R"({"version":")" + version + R"(","listeners":[],"clusters":[{"name":"desk","warmupPerS":)" + rate + "}]}";
    };
    CHECK(active.applyIfNewer(configuration("r1", "4.7"), ActiveConfiguration::storeSource));
    for (const char* bad : { "-1", "1e300", "\"4\"" })
        CHECK_FALSE(active.applyIfNewer(configuration("r2", bad), ActiveConfiguration::storeSource));
    CHECK(active.version() == ConfigurationVersion { 1 });
    CHECK(active.current()->published.configuration.services.front().coldRate == coldRate);
}

TEST_CASE_FIXTURE(ColdServerFixture, "cold zone at full demand, load goes to other zones and returns as the servers turn warm")
{
    const std::vector<ZoneId> zones { ZoneId("a"), ZoneId("b"), ZoneId("c") };
    for (const ZoneId& zone : zones)
        addHosts(2, zone.value());
    establish();
    for (const ZoneId& zone : zones) {
        for (int index = 0; index < 8; ++index)
            addServer(zone.value() + std::to_string(index), zone == zones[0] ? 3s : 0s, zone.value());
    }
    std::size_t refused = 0;
    // 240 requests of 100 ms a second need 24 of the 48 slots that are warm.
    const auto run = [&](Duration time) {
        servedIn.clear();
        for (const MonotonicTime end = clock.now() + time; clock.now() < end;) {
            advance(12500us);
            for (std::size_t first = 0; first < zones.size(); ++first) {
                bool done = false;
                for (std::size_t tried = 0; tried < zones.size() && !done; ++tried) {
                    const PlacementCell asked { cell.service, zones[(first + tried) % zones.size()], 0, 1 };
                    const auto coordinator = std::ranges::find_if(hosts, [&](const auto& host) {
                        const CellAuthority known = host->directory.cellAuthority(asked.zone, coordinatorKey(asked), clock.now());
                        return known.authority.share > 0 && known.role == ColdServerSender::FirstCoordinator;
                    });
                    REQUIRE(coordinator != hosts.end());
                    done = place(**coordinator, asked);
                }
                refused += done ? 0 : 1;
            }
        }
    };
    run(3s);
    for (const auto& [id, times] : placed) {
        if (id.value().starts_with("a"))
            CHECK(static_cast<double>(::mostInOneSecond(times)) <= statedBound);
    }
    // The zone's own 80 requests a second are more than its servers bear, which get what they bear.
    CHECK(servedIn[zones[0]] < 3 * 80);
    CHECK(static_cast<double>(servedIn[zones[0]]) >= 8 * 3 * coldRate.value);
    CHECK(servedIn[zones[1]] > 3 * 80);
    run(3s);
    CHECK(servedIn[zones[0]] >= 3 * 80 - 1);
    CHECK(refused == 0);
}
