#include <lacewingsail/Detection.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct DetectionStateFixture {
    DetectionStateFixture()
    {
        settings.id = HostId("host-0");
        settings.zone = ZoneId("z1");
        clock.advance(1h);
        Service& service = configuration.services.emplace_back();
        service.id = ServiceId("loan-desk");
        service.floor = { 60 };
        for (int index = 0; index < 6; ++index)
            service.backendServers.push_back({ BackendServerId("server-" + std::to_string(index)), ZoneId("z" + std::to_string(index % 3)), {}, { 6 }, false });
        decide();
    }

    void observe(int server, AttemptOutcome outcome, int times = 1, bool probe = false)
    {
        AttemptEvidence evidence { ServiceId("loan-desk"), BackendServerId("server-" + std::to_string(server)), outcome, 2ms };
        evidence.probe = probe;
        for (int count = 0; count < times; ++count)
            state.take(evidence);
    }

    void workWell(int times = 10)
    {
        for (int server = 1; server < 6; ++server)
            observe(server, AttemptOutcome::Answered, times);
    }

    // What requests read of one server after the next decision.
    BackendServerLoad& load(std::size_t server)
    {
        auto fresh = std::make_shared<FleetSnapshot>();
        fresh->tables = makeConfigurationTables(ConfigurationVersion { 1 }, std::make_shared<const Configuration>(configuration));
        fresh->loads = carryOverLoads(configuration, snapshot.get());
        fresh->attemptLimits = carryOverAttemptLimits(configuration, snapshot.get());
        snapshot = std::move(fresh);
        decide();
        state.serve(*snapshot);
        return *snapshot->loads.front()[server];
    }

    FleetStandings decide() { return state.decide(configuration); }
    Standing standing(std::size_t server) { return decide().standings.front()[server]; }

    HostSettings settings;
    ManualClock clock;
    Journal journal { 100 };
    Configuration configuration;
    DetectionState state { settings, clock, journal };
    std::shared_ptr<const FleetSnapshot> snapshot;
};

} // namespace

TEST_CASE_FIXTURE(DetectionStateFixture, "standing, stalled server, is ejected and journalled with its evidence")
{
    workWell();
    observe(0, AttemptOutcome::Stalled, 4);
    CHECK(standing(0) == Standing::Ejected);
    const auto lines = journal.linesWith("server=server-0");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].find("rule=condemned-by-evidence") != std::string::npos);
    CHECK(lines[0].find("reversed_by=") != std::string::npos);
}

TEST_CASE_FIXTURE(DetectionStateFixture, "standing, every server begins to stall after a good time, ejects nobody")
{
    observe(0, AttemptOutcome::Answered, 10);
    workWell();
    for (int server = 0; server < 6; ++server) {
        observe(server, AttemptOutcome::Stalled, 3);
        decide();
    }
    for (std::size_t server = 1; server < 6; ++server)
        CHECK(standing(server) == Standing::Serving);
}

TEST_CASE_FIXTURE(DetectionStateFixture, "standing, mode off, ejects nothing")
{
    configuration.services.front().mode = EjectionMode::Off;
    workWell();
    observe(0, AttemptOutcome::Stalled, 9);
    CHECK(standing(0) == Standing::Serving);
}

TEST_CASE_FIXTURE(DetectionStateFixture, "standing, mode propose, waits for an operator")
{
    configuration.services.front().mode = EjectionMode::Propose;
    workWell();
    observe(0, AttemptOutcome::Stalled, 9);
    CHECK(standing(0) == Standing::Serving);
    CHECK_FALSE(state.confirm(ServiceId("loan-desk"), BackendServerId("server-1"), "ana"));
    CHECK(state.confirm(ServiceId("loan-desk"), BackendServerId("server-0"), "ana"));
    CHECK(standing(0) == Standing::Ejected);
}

TEST_CASE_FIXTURE(DetectionStateFixture, "standing, pinned, follows the pin until it expires")
{
    state.pin(ServiceId("loan-desk"), BackendServerId("server-2"), { Pin::Kind::Ejected, clock.now() + 10s, "ana" });
    CHECK(standing(2) == Standing::Ejected);
    state.pin(ServiceId("loan-desk"), BackendServerId("server-0"), { Pin::Kind::Serving, clock.now() + 10s, "ana" });
    workWell();
    observe(0, AttemptOutcome::Stalled, 9);
    CHECK(standing(0) == Standing::Serving);
    clock.advance(10s);
    workWell();
    observe(0, AttemptOutcome::Stalled, 9);
    CHECK(standing(0) == Standing::Ejected);
}

TEST_CASE_FIXTURE(DetectionStateFixture, "standing, probes pass after the hold, serves again with a small share")
{
    workWell();
    observe(0, AttemptOutcome::Stalled, 4);
    CHECK(standing(0) == Standing::Ejected);
    clock.advance(3s);
    observe(0, AttemptOutcome::Answered, 3, true);
    const auto standings = decide();
    CHECK(standings.standings.front()[0] == Standing::Serving);
    CHECK(standings.warmupShares.front()[0] == initialWarmupShare);
}

TEST_CASE_FIXTURE(DetectionStateFixture, "standing, an answer says leaving, leaves at once and stays so")
{
    observe(3, AttemptOutcome::Leaving);
    CHECK(standing(3) == Standing::Leaving);
    clock.advance(1h);
    CHECK(standing(3) == Standing::Leaving);
}

TEST_CASE_FIXTURE(DetectionStateFixture, "leaving mark, configuration sets it and takes it back, reaches requests both times")
{
    configuration.services.front().backendServers[3].leaving = true;
    CHECK(load(3).leaving);
    configuration.services.front().backendServers[3].leaving = false;
    CHECK_FALSE(load(3).leaving);
}

TEST_CASE_FIXTURE(DetectionStateFixture, "leaving mark, set by a request before the decision, is not taken back")
{
    load(3).leaving = true;
    CHECK(load(3).leaving);
    observe(3, AttemptOutcome::Leaving);
    CHECK(load(3).leaving);
}

TEST_CASE_FIXTURE(DetectionStateFixture, "leaving mark, operator pins the server to serving, is lifted")
{
    observe(3, AttemptOutcome::Leaving);
    CHECK(load(3).leaving);
    state.pin(ServiceId("loan-desk"), BackendServerId("server-3"), { Pin::Kind::Serving, clock.now() + 10s, "ana" });
    CHECK_FALSE(load(3).leaving);
}

TEST_CASE_FIXTURE(DetectionStateFixture, "probe, ejected server after its hold, is granted to one request")
{
    workWell();
    observe(0, AttemptOutcome::Stalled, 4);
    CHECK(load(0).allowedProbes == 0);
    clock.advance(2s);
    CHECK(load(0).allowedProbes == 1);
}

TEST_CASE_FIXTURE(DetectionStateFixture, "standing, a peer heard that a server leaves, leaves at once")
{
    PeerEvidence digest;
    digest.host = HostId("host-1");
    digest.leaving = { serverHash(ServiceId("loan-desk"), BackendServerId("server-3")) };
    state.take(digest);
    CHECK(standing(3) == Standing::Leaving);
}

TEST_CASE_FIXTURE(DetectionStateFixture, "standing, half of the servers fail here and nowhere else, ejects nobody and tells so")
{
    for (int server = 0; server < 6; ++server)
        observe(server, server < 3 ? AttemptOutcome::ConnectFailed : AttemptOutcome::Answered, 5);
    for (std::size_t server = 0; server < 6; ++server)
        CHECK(standing(server) == Standing::Serving);
    CHECK(state.digest().linkSuspected);
}

TEST_CASE_FIXTURE(DetectionStateFixture, "standing, new server in a known service, starts cold")
{
    configuration.services.front().backendServers.push_back({ BackendServerId("server-6"), ZoneId("z1"), {}, { 6 }, false });
    CHECK(decide().warmupShares.front()[6] == initialWarmupShare);
    clock.advance(10s);
    CHECK(decide().warmupShares.front()[6].value == 100);
}

TEST_CASE_FIXTURE(DetectionStateFixture, "standing, membership shrinks below the floor, returns the ejected in the same decision")
{
    workWell();
    observe(0, AttemptOutcome::Stalled, 5);
    CHECK(standing(0) == Standing::Ejected);
    for (int count = 0; count < 3; ++count)
        configuration.services.front().backendServers[static_cast<std::size_t>(count) + 2].leaving = true;
    CHECK(standing(0) == Standing::Serving);
    CHECK(journal.linesWith("rule=returned-for-floor").size() == 1);
}

TEST_CASE_FIXTURE(DetectionStateFixture, "digest, all well, has nothing to say")
{
    workWell();
    decide();
    CHECK(state.digest().servers.empty());
}
