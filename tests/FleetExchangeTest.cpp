#include "ScriptedStore.h"

#include <lacewingsail/exchange.grpc.pb.h>
#include <lacewingsail/Exchange.h>

#include <doctest/doctest.h>

#include <deque>
#include <random>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

/// \brief Calls whose replies the test gives.
class ScriptedCalls final : public HostCalls {
public:
    struct Exchange {
        Endpoint target;
        std::unique_ptr<protocol::ExchangeRequest> request;
        ExchangeCallback callback;
    };

    void exchange(const Endpoint& target, std::unique_ptr<protocol::ExchangeRequest> request, ExchangeCallback callback) override { exchanges.push_back({ target, std::move(request), std::move(callback) }); }
    void requestTokens(const Endpoint&, const TokenDemand&, TokenCallback) override { }
    void place(const Endpoint&, const PlacementCell&, const PlacementDemand&, const std::vector<PlacementOutcome>&, PlacementCallback) override { }
    void reportOutcomes(const Endpoint&, const std::vector<PlacementOutcome>&, DeliveryCallback) override { }

    std::deque<Exchange> exchanges;
};

/// \brief One host. The version of a configuration is the number in front of its text.
struct ExchangingHost {
    explicit ExchangingHost(const Clock& clock, const std::string& id, std::vector<Endpoint> seeds = {})
        : active([](const std::string& text) -> std::optional<PublishedConfiguration> {
            PublishedConfiguration published;
            published.version = ConfigurationVersion { std::stoull(text) };
            return published;
        },
            clock)
        , follower(
              store, active, registry, [](const BackendServerId&, const std::string&) { return std::nullopt; }, clock, [] {})
        , directory(LiveHost { HostId(id), ZoneId("a"), { "10.0.0.1", 1 }, 0.1 }, clock.now())
        , stats(HostId(id), ZoneId("a"))
        , exchange({ clock, directory, active, registry, follower, stats, 10, std::move(seeds), [] { return ServerStatsMap(); }, [] {} })
    {
        exchange.connect(calls);
    }

    void publish(const std::string& text) { active.applyIfNewer(text, ActiveConfiguration::storeSource); }

    protocol::ExchangeRequest requestOfNextTick()
    {
        calls.exchanges.clear();
        exchange.tick();
        REQUIRE(calls.exchanges.size() == 1);
        return *calls.exchanges.front().request;
    }

    void answer(const protocol::ExchangeReply* reply)
    {
        const auto callback = std::move(calls.exchanges.front().callback);
        calls.exchanges.pop_front();
        callback(reply);
    }

    ScriptedStore store;
    ScriptedCalls calls;
    ActiveConfiguration active;
    ServerRegistry registry;
    StoreFollower follower;
    FleetDirectory directory;
    StatsAggregator stats;
    FleetExchange exchange;
};

struct FleetExchangeFixture {
    ManualClock clock;

    FleetExchangeFixture() { clock.advance(1h); }

    static protocol::ExchangeReply replyWithVersion(std::uint64_t version)
    {
        protocol::ExchangeReply reply;
        reply.mutable_sender()->set_id("other");
        reply.mutable_sender()->set_peers("10.0.0.2:1");
        reply.mutable_news()->set_configuration_version(version);
        return reply;
    }
};

std::string randomName(std::minstd_rand& random)
{
    std::string name;
    for (int index = 0; index < 8; ++index)
        name += "abcdefghijklmnopqrstuvwxyz0123456789"[random() % 36];
    return name;
}

std::string largeConfiguration(int version, int routes)
{
    std::minstd_rand random(1);
    std::string text = std::to_string(version) + " {\"routeRules\":[";
    for (int index = 0; index < routes; ++index)
        text += R"({"name":"r-)" + randomName(random) + R"(","kind":"idempotent","targetLatencyS":1.5,"priority":2,"match":{"pathPrefix":"/)" + randomName(random) + R"(/"},"action":{"service":"huvo11a","timeoutS":2.5}},)";
    return text + "]}";
}

const std::vector<Endpoint> otherHost { { "10.0.0.2", 1 } };

} // namespace

// One text of 1,900 routes takes 0.2 s on the relay's link, and all hosts of its zone ask for it in the same interval. When
// all are sent at once, none arrives within the deadline of its call.
TEST_CASE_FIXTURE(FleetExchangeFixture, "handleRequest, zone of 61 hosts asks for 2,900 routes, sends no more than fits into the interval")
{
    constexpr double linkBytesPerSecond = 10e6 / 8;
    const double intervalBytes = linkBytesPerSecond * std::chrono::duration<double>(FleetExchange::interval).count();
    ExchangingHost relay(clock, "relay");
    relay.publish(largeConfiguration(2, 2900));
    std::size_t waiting = 61;
    const GatewayBounds bounds;
    for (Duration elapsed {}; waiting > 0 && elapsed < bounds.configuration; elapsed += FleetExchange::interval) {
        relay.exchange.tick();
        std::size_t sent = 0;
        for (std::size_t asking = waiting; asking > 0; --asking) {
            protocol::ExchangeRequest request;
            request.mutable_news()->set_configuration_version(1);
            protocol::ExchangeReply reply;
            relay.exchange.handleRequest(request, reply);
            sent += reply.ByteSizeLong();
            CHECK(reply.news().configuration_version() == 2);
            if (reply.news().ByteSizeLong() < 1000)
                continue;
            ExchangingHost host(clock, "host", otherHost);
            host.requestOfNextTick();
            host.answer(&reply);
            waiting -= host.active.version() == ConfigurationVersion { 2 } ? 1 : 0;
        }
        CHECK(static_cast<double>(sent) <= intervalBytes);
    }
    // The others read the store.
    CHECK(waiting < 61);
}

TEST_CASE_FIXTURE(FleetExchangeFixture, "tick, other host of unknown state, is not sent the configuration")
{
    ExchangingHost host(clock, "host", otherHost);
    host.publish(largeConfiguration(2, 100));
    CHECK(host.requestOfNextTick().ByteSizeLong() < 1000);
}

TEST_CASE_FIXTURE(FleetExchangeFixture, "tick, other host answered with an older version, is sent the configuration until it has it")
{
    ExchangingHost host(clock, "host", otherHost);
    host.publish(largeConfiguration(2, 100));
    host.requestOfNextTick();
    auto reply = replyWithVersion(1);
    host.answer(&reply);
    ExchangingHost other(clock, "other");
    const auto request = host.requestOfNextTick();
    protocol::ExchangeReply otherReply;
    other.exchange.handleRequest(request, otherReply);
    CHECK(other.active.text() == host.active.text());
    host.answer(&otherReply);
    CHECK(host.requestOfNextTick().ByteSizeLong() < 1000);
}

// The configuration in a request is what makes calls to a slow host fail: it is not sent again with each attempt.
TEST_CASE_FIXTURE(FleetExchangeFixture, "tick, call failed, does not send the configuration again before an answer")
{
    ExchangingHost host(clock, "host", otherHost);
    host.publish(largeConfiguration(2, 100));
    host.requestOfNextTick();
    host.answer(nullptr);
    CHECK(host.requestOfNextTick().ByteSizeLong() < 1000);
}

TEST_CASE_FIXTURE(FleetExchangeFixture, "handleReply, newer version without its text, reads the store at once")
{
    ExchangingHost host(clock, "host", otherHost);
    host.publish("1");
    host.follower.tick(StoreReaderRole::Standby);
    for (const auto& call : std::exchange(host.store.calls, {}))
        call.callback({});
    host.follower.tick(StoreReaderRole::Standby);
    CHECK(host.store.calls.empty());
    host.requestOfNextTick();
    const auto reply = replyWithVersion(2);
    host.answer(&reply);
    host.follower.tick(StoreReaderRole::Standby);
    CHECK(std::ranges::any_of(host.store.calls, [](const auto& call) { return call.stream == RecordStream::Configuration && call.readLatest; }));
}

TEST_CASE_FIXTURE(FleetExchangeFixture, "handleRequest, configuration that is no valid frame, is ignored")
{
    ExchangingHost host(clock, "host");
    host.publish("1");
    protocol::ExchangeRequest request;
    request.mutable_news()->set_configuration_version(2);
    request.mutable_news()->set_compressed_configuration("2 but not compressed");
    protocol::ExchangeReply reply;
    host.exchange.handleRequest(request, reply);
    CHECK(host.active.version() == ConfigurationVersion { 1 });
}

namespace {

ServerChange registered(const std::string& id, std::uint64_t era, std::uint64_t offset, std::uint64_t heartbeat, bool draining = false)
{
    RegisteredServer server;
    server.id = BackendServerId(id);
    server.service = ServiceId("desk");
    server.zone = ZoneId("a");
    server.endpoint = { "10.0.1.1", 80 };
    server.slots = SlotCount { 6 };
    server.draining = draining;
    server.heartbeat = heartbeat;
    return { server.id, { StoreEra { era }, LogOffset { offset } }, server, std::nullopt };
}

} // namespace

TEST_CASE_FIXTURE(FleetExchangeFixture, "exchange, one host follows a newer era, both end with its servers and with what the older one said of them")
{
    ExchangingHost host(clock, "host", otherHost);
    ExchangingHost other(clock, "other");
    for (ExchangingHost* each : { &host, &other }) {
        for (const char* id : { "i-drains", "i-leaves" })
            each->registry.apply(registered(id, 1, 4, 4), StoreHealth::Healthy, clock.now());
        each->registry.advanceEnd({ StoreEra { 1 }, LogOffset { 5 } });
        each->follower.recordEra(StoreEra { 1 }, ActiveConfiguration::storeSource);
        each->follower.recordFreshness(clock.now(), clock.now());
    }
    // The host learns that servers leave; the other one only reads the copy, which says nothing of it.
    host.registry.apply(registered("i-drains", 1, 90, 6, true), StoreHealth::Healthy, clock.now());
    host.registry.apply({ BackendServerId("i-leaves"), { StoreEra { 1 }, LogOffset { 91 } }, std::nullopt, std::nullopt, { {}, 6 } }, StoreHealth::Healthy, clock.now());
    host.registry.advanceEnd({ StoreEra { 1 }, LogOffset { 92 } });
    other.follower.recordEra(StoreEra { 2 }, ActiveConfiguration::storeSource);
    const std::vector<ServerChange> copy { registered("i-drains", 2, 4, 4), registered("i-leaves", 2, 5, 4), registered("i-new", 2, 6, 1) };
    other.registry.replace(copy, { StoreEra { 2 }, LogOffset { 30 } }, StoreHealth::Recovering, clock.now());

    const auto request = host.requestOfNextTick();
    protocol::ExchangeReply reply;
    other.exchange.handleRequest(request, reply);
    host.answer(&reply);
    protocol::ExchangeReply second;
    other.exchange.handleRequest(host.requestOfNextTick(), second);
    CHECK(host.follower.era() == StoreEra { 2 });
    for (ExchangingHost* each : { &host, &other }) {
        CHECK(each->registry.end() == StorePosition { StoreEra { 2 }, LogOffset { 30 } });
        CHECK(each->registry.entries().size() == 2);
        CHECK(each->registry.entries().contains(BackendServerId("i-new")));
        CHECK_FALSE(each->registry.entries().contains(BackendServerId("i-leaves")));
        REQUIRE(each->registry.entries().contains(BackendServerId("i-drains")));
        CHECK(each->registry.entries().at(BackendServerId("i-drains")).registration.draining);
    }
}

TEST_CASE_FIXTURE(FleetExchangeFixture, "handleRequest, update of an older era, does not count as fresh")
{
    ExchangingHost host(clock, "host");
    host.registry.advanceEnd({ StoreEra { 2 }, LogOffset { 30 } });
    protocol::ExchangeRequest request;
    request.mutable_news()->set_servers_end(90);
    request.mutable_news()->set_servers_end_era(1);
    request.mutable_news()->set_servers_age_ms(0);
    protocol::ExchangeReply reply;
    host.exchange.handleRequest(request, reply);
    CHECK(host.follower.serversAsOf() == MonotonicTime {});
    CHECK(host.registry.end() == StorePosition { StoreEra { 2 }, LogOffset { 30 } });
}

TEST_CASE_FIXTURE(FleetExchangeFixture, "handleRequest, update of a host that tells no eras, is taken as of the own era")
{
    ExchangingHost host(clock, "host");
    host.registry.advanceEnd({ StoreEra { 2 }, LogOffset { 30 } });
    protocol::ExchangeRequest request;
    request.mutable_news()->set_servers_end(40);
    request.mutable_news()->set_servers_from(30);
    request.mutable_news()->set_servers_age_ms(0);
    protocol::ServerNews& server = *request.mutable_news()->add_servers();
    server.set_id("i-1");
    server.set_offset(35);
    server.set_service("desk");
    server.set_zone("a");
    server.set_endpoint("10.0.1.1:80");
    server.set_slots(6);
    protocol::ExchangeReply reply;
    host.exchange.handleRequest(request, reply);
    CHECK(host.registry.entries().contains(BackendServerId("i-1")));
    CHECK(host.registry.end() == StorePosition { StoreEra { 2 }, LogOffset { 40 } });
    CHECK(host.follower.serversAsOf() == clock.now());
}

namespace {

// One exchange from the host to the other one.
void exchangeOnce(ExchangingHost& host, ExchangingHost& other)
{
    const auto request = host.requestOfNextTick();
    protocol::ExchangeReply reply;
    other.exchange.handleRequest(request, reply);
    host.answer(&reply);
}

ZoneEvacuation evacuationOf(std::uint64_t era, std::uint64_t offset, bool ended) { return { ZoneId("z"), { StoreEra { era }, LogOffset { offset } }, ended }; }

bool evacuated(const ExchangingHost& host) { return host.registry.evacuations().isEvacuated(ZoneId("z")); }

} // namespace

TEST_CASE_FIXTURE(FleetExchangeFixture, "exchange, store refuses one host, learns evacuation, configuration and end from the other one")
{
    ExchangingHost refused(clock, "refused", otherHost);
    ExchangingHost other(clock, "other");
    // Allows configurations to be sent.
    other.exchange.tick();
    other.publish("1");
    other.registry.apply(evacuationOf(1, 10, false), ActiveConfiguration::storeSource, clock.now());
    exchangeOnce(refused, other);
    // The reply to the first call tells what the caller lacks.
    exchangeOnce(refused, other);
    CHECK(evacuated(refused));
    CHECK(refused.active.version() == ConfigurationVersion { 1 });
    other.registry.apply(evacuationOf(1, 12, true), ActiveConfiguration::storeSource, clock.now());
    exchangeOnce(refused, other);
    CHECK_FALSE(evacuated(refused));
}

TEST_CASE_FIXTURE(FleetExchangeFixture, "exchange, caller knows the evacuation, tells it with its first call")
{
    ExchangingHost host(clock, "host", otherHost);
    ExchangingHost other(clock, "other");
    host.registry.apply(evacuationOf(1, 10, false), ActiveConfiguration::storeSource, clock.now());
    exchangeOnce(host, other);
    CHECK(evacuated(other));
}

TEST_CASE_FIXTURE(FleetExchangeFixture, "exchange, host with an old state comes back, does not bring an ended evacuation back")
{
    ExchangingHost stale(clock, "stale", otherHost);
    ExchangingHost other(clock, "other");
    stale.registry.apply(evacuationOf(1, 10, false), ActiveConfiguration::storeSource, clock.now());
    other.registry.apply(evacuationOf(1, 12, true), ActiveConfiguration::storeSource, clock.now());
    exchangeOnce(stale, other);
    CHECK_FALSE(evacuated(other));
    CHECK_FALSE(evacuated(stale));
}

TEST_CASE_FIXTURE(FleetExchangeFixture, "exchange, one host knows an evacuation only from a copy of the store, hears of its end")
{
    ExchangingHost host(clock, "host", otherHost);
    ExchangingHost newcomer(clock, "newcomer");
    host.registry.apply(evacuationOf(1, 10, false), ActiveConfiguration::storeSource, clock.now());
    host.registry.apply(evacuationOf(1, 12, true), ActiveConfiguration::storeSource, clock.now());
    newcomer.registry.apply(evacuationOf(2, 10, false), ActiveConfiguration::storeSource, clock.now());
    exchangeOnce(host, newcomer);
    exchangeOnce(host, newcomer);
    CHECK_FALSE(evacuated(host));
    CHECK_FALSE(evacuated(newcomer));
}

TEST_CASE_FIXTURE(FleetExchangeFixture, "handleRequest, evacuation of a zone without a usable name, is ignored")
{
    ExchangingHost host(clock, "host");
    protocol::ExchangeRequest request;
    for (const char* name : { "", "a b", "z" })
        request.mutable_news()->add_evacuations()->set_zone(name);
    protocol::ExchangeReply reply;
    host.exchange.handleRequest(request, reply);
    CHECK(host.registry.evacuations().records().size() == 1);
    CHECK(evacuated(host));
}
