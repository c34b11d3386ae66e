#include "ScriptedStore.h"

#include <PlatformAdapter.h>

#include <lacewingsail/exchange.grpc.pb.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

/// \brief Fields of a registration as JSON texts.
struct Fields {
    std::string service = R"("desk")";
    std::string address = R"("10.0.0.1:80")";
    std::string zone = R"("a")";
    std::string slots = "6";
    std::string state = R"("ready")";
    std::string warmup = "0";
    std::string heartbeat = "4";
    std::string startedAt = "1700000000000";

    std::string text() const
    {
        return R"({"service":)" + service + R"(,"address":)" + address + R"(,"zone":)" + zone + R"(,"version":"v1","slots":)" + slots + R"(,"state":)" + state
            + R"(,"warmupLeftS":)" + warmup + R"(,"sequence":)" + heartbeat + R"(,"born":)" + startedAt + "}";
    }
};

/// \brief A host that reads registrations from the store and passes them on.
struct OddRegistrationFixture {
    ManualClock clock;
    ScriptedStore store;
    ActiveConfiguration active { platform_adapter::decodeConfiguration, clock };
    ServerRegistry registry;
    StoreFollower follower { store, active, registry, platform_adapter::decodeServer, clock, [] {} };
    FleetDirectory directory { LiveHost { HostId("host-0"), ZoneId("a"), { "10.0.0.9", 1 }, 0.1 }, clock.now() };
    StatsAggregator stats { HostId("host-0"), ZoneId("a") };
    FleetExchange exchange { { clock, directory, active, registry, follower, stats, 10, {}, [] { return ServerStatsMap(); }, [] {} } };
    std::uint64_t offset = 1;

    OddRegistrationFixture()
    {
        clock.advance(1h);
        read({ { LogOffset { 0 }, "i-good", Fields().text() } });
        while (follower.storeHealth() == StoreHealth::Recovering)
            read({});
    }

    void read(std::vector<KeyedRecord> records)
    {
        clock.advance(500ms);
        follower.tick(StoreReaderRole::Primary);
        const auto found = std::ranges::find(store.calls, RecordStream::Servers, &ScriptedStore::Call::stream);
        REQUIRE(found != store.calls.end());
        const auto callback = std::move(found->callback);
        store.calls.erase(found);
        callback({ ResultCode::Ok, std::move(records), LogOffset { offset } });
    }

    void readRecord(const std::string& key, const std::string& value) { read({ { LogOffset { offset++ }, key, value } }); }

    bool inUse(const std::string& key) const { return registry.entries().contains(BackendServerId(key)); }

    // What another host gets that knows the records before the given offset.
    protocol::ExchangeReply replyTo(std::uint64_t serversEnd)
    {
        protocol::ExchangeRequest request;
        request.mutable_news()->set_servers_end(serversEnd);
        protocol::ExchangeReply reply;
        exchange.handleRequest(request, reply);
        return reply;
    }

    static bool isReadable(const protocol::ExchangeReply& sent)
    {
        protocol::ExchangeReply received;
        return received.ParseFromString(sent.SerializeAsString());
    }
};

const std::vector<std::string> oddNames { "", "\xff\xfe", "i-\xc3(", "i-1\r\nTenant: other", "i 1", "i-1\t", std::string("i\0001", 3), std::string(256, 'i') };

} // namespace

TEST_CASE("isValidName, empty, too long or not of visible ASCII characters, is not valid")
{
    for (const std::string& name : oddNames)
        CHECK_FALSE(isValidName(name));
    CHECK(isValidName("i-7f3a91c2"));
    CHECK(isValidName(std::string(255, 'i')));
}

TEST_CASE_FIXTURE(OddRegistrationFixture, "read, key of a registration is no valid name, other hosts still read this host's messages")
{
    for (const std::string& name : oddNames) {
        CAPTURE(name);
        readRecord(name, Fields().text());
        readRecord(name, "{");
        CHECK_FALSE(inUse(name));
        CHECK(isReadable(replyTo(1)));
        CHECK(replyTo(1).news().servers_size() == 0);
        CHECK(isReadable(replyTo(0)));
        CHECK(replyTo(0).news().servers_size() == 1);
    }
    readRecord("i-next", Fields().text());
    CHECK(inUse("i-next"));
}

TEST_CASE_FIXTURE(OddRegistrationFixture, "read, service or zone of a registration is no valid name, names no server")
{
    for (const char* name : { R"("")", R"("a\r\nb")", R"("a b")", R"("\u0000")", R"("\u00e5")" }) {
        CAPTURE(name);
        Fields fields;
        fields.service = name;
        readRecord("i-odd", fields.text());
        CHECK_FALSE(inUse("i-odd"));
        fields = {};
        fields.zone = name;
        readRecord("i-odd", fields.text());
        CHECK_FALSE(inUse("i-odd"));
    }
    CHECK(inUse("i-good"));
}

TEST_CASE_FIXTURE(OddRegistrationFixture, "handleRequest, names of a server from another host are not valid, are not taken over")
{
    protocol::ExchangeRequest request;
    request.mutable_sender()->set_id("host-1");
    request.mutable_sender()->set_peers("10.0.0.8:1");
    request.mutable_news()->set_servers_end(9);
    request.mutable_news()->set_servers_from(1);
    protocol::ServerNews& server = *request.mutable_news()->add_servers();
    server.set_offset(5);
    server.set_endpoint("10.0.0.1:80");
    server.set_slots(6);
    protocol::ExchangeReply reply;
    for (const auto& [id, service, zone] : std::vector<std::array<std::string, 3>> { { "i-1\r\nTenant: other", "desk", "a" }, { "i-1", "d\nk", "a" }, { "i-1", "desk", "" } }) {
        server.set_id(id);
        server.set_service(service);
        server.set_zone(zone);
        exchange.handleRequest(request, reply);
        CHECK(registry.entries().size() == 1);
    }
}

TEST_CASE_FIXTURE(OddRegistrationFixture, "read, text of a registration cannot be decoded, names no server and the others stay in use")
{
    const std::string nested = std::string(100000, '[') + std::string(100000, ']');
    Fields deep;
    deep.zone = nested;
    Fields huge;
    huge.slots = std::string(400, '9');
    Fields exponent;
    exponent.warmup = "1e400";
    for (const std::string& text : { std::string("{"), std::string("\xff\xfe\x00", 3), std::string("null"), nested, deep.text(), huge.text(), exponent.text(), "{" + std::string(1 << 20, ' ') }) {
        readRecord("i-good", Fields().text());
        CHECK(inUse("i-good"));
        readRecord("i-odd", text);
        CHECK_FALSE(inUse("i-odd"));
        CHECK(inUse("i-good"));
        readRecord("i-good", text);
        CHECK_FALSE(inUse("i-good"));
        CHECK(isReadable(replyTo(1)));
    }
    CHECK_FALSE(platform_adapter::decodeConfiguration(nested));
    CHECK_FALSE(platform_adapter::decodeHost(HostId("h"), nested));
}

TEST_CASE_FIXTURE(OddRegistrationFixture, "read, value that no backend server can have, names no server")
{
    std::vector<Fields> odd;
    for (const char* slots : { "0", "-1", "2147483647", "4294967296" })
        odd.emplace_back().slots = slots;
    for (const char* warmup : { "1e300", "-1e300", "1e15", "9.2e9" })
        odd.emplace_back().warmup = warmup;
    for (const char* startedAt : { "-1", "9223372036854775807", "-9223372036854775808", "18446744073709551615" })
        odd.emplace_back().startedAt = startedAt;
    for (const char* heartbeat : { "-1", "18446744073709551615", "18446744073709551616", "1.5" })
        odd.emplace_back().heartbeat = heartbeat;
    for (const char* address : { R"("10.0.0.1:0")", R"("10.0.0.1:65536")", R"("10.0.0.1:99999999999")", R"("10.0.0.1:-1")", R"("10.0.0.1:")", R"(":80")", R"("10.0.0.1")", R"("nowhere:80")", R"("10.0.0.256:80")", R"("10.0.0.1\r\n:80")" })
        odd.emplace_back().address = address;
    for (const Fields& fields : odd) {
        const std::string text = fields.text();
        CAPTURE(text);
        readRecord("i-odd", text);
        CHECK_FALSE(inUse("i-odd"));
        // A server that was in use under this id and writes again is heard.
        readRecord("i-good", text);
        CHECK_FALSE(inUse("i-good"));
        readRecord("i-good", Fields().text());
        CHECK(inUse("i-good"));
    }
}

TEST_CASE_FIXTURE(OddRegistrationFixture, "read, warm-up is over for a moment already, keeps the server in use")
{
    Fields fields;
    fields.warmup = "-0.25";
    readRecord("i-1", fields.text());
    CHECK(inUse("i-1"));
}

TEST_CASE_FIXTURE(OddRegistrationFixture, "handleRequest, values of a server from another host cannot be those of a server, are not taken over")
{
    protocol::ExchangeRequest request;
    request.mutable_news()->set_servers_end(99);
    request.mutable_news()->set_servers_from(1);
    protocol::ServerNews& server = *request.mutable_news()->add_servers();
    protocol::ExchangeReply reply;
    std::uint64_t serverOffset = 1;
    const auto isTakenOver = [&](std::uint32_t slots, std::uint32_t warmupMs, std::uint64_t startedAtMs, std::uint64_t heartbeat) {
        server.set_id("i-1");
        server.set_offset(++serverOffset);
        server.set_service("desk");
        server.set_zone("a");
        server.set_endpoint("10.0.0.1:80");
        server.set_slots(slots);
        server.set_warmup_left_ms(warmupMs);
        server.set_born_ms(startedAtMs);
        server.set_heartbeat(heartbeat);
        exchange.handleRequest(request, reply);
        return inUse("i-1");
    };
    CHECK_FALSE(isTakenOver(0, 0, 0, 1));
    CHECK_FALSE(isTakenOver(4294967295U, 0, 0, 1));
    CHECK_FALSE(isTakenOver(6, 4294967295U, 0, 1));
    CHECK_FALSE(isTakenOver(6, 0, 18446744073709551615U, 1));
    CHECK_FALSE(isTakenOver(6, 0, 0, 18446744073709551615U));
    CHECK(isTakenOver(6, 1000, 1700000000000U, 1));
}

TEST_CASE("isValid, host record with names or a size that no fleet has, is not valid")
{
    const auto record = [](const std::string& id, const std::string& zone, std::size_t size) { return HostRecord { { HostId(id), ZoneId(zone), { "10.0.0.1", 1 } }, size }; };
    CHECK(isValid(record("host-1", "a", 430)));
    CHECK(isValid(record("host-1", "a", 0)));
    CHECK_FALSE(isValid(record("host-1", "a", 4'000'000'000)));
    for (const std::string& name : oddNames) {
        CHECK_FALSE(isValid(record(name, "a", 1)));
        CHECK_FALSE(isValid(record("host-1", name, 1)));
    }
}

TEST_CASE_FIXTURE(OddRegistrationFixture, "handleRequest, names or size of a fleet that cannot be those of hosts, are not taken over")
{
    protocol::ExchangeRequest request;
    request.mutable_sender()->set_id("host-1");
    request.mutable_sender()->set_zone("a");
    request.mutable_sender()->set_peers("10.0.0.8:1");
    request.mutable_sender()->set_fleet_size(4'000'000'000);
    protocol::GatewayHost& listed = *request.add_hosts();
    listed.set_id("host\n2");
    listed.set_zone("a");
    listed.set_peers("10.0.0.7:1");
    protocol::ExchangeReply reply;
    exchange.handleRequest(request, reply);
    CHECK(directory.entries().size() == 1);
    CHECK(directory.fleetSize(clock.now()) == 2);
}
