/// \brief `bench-decisions`: time and allocations of each decision, by the number of backend servers.

#include "Allocations.h"

#include <lacewingsail/Exchange.h>
#include <lacewingsail/Policy.h>

#include <benchmark/benchmark.h>

#include <random>

namespace lacewingsail::bench {

namespace {

    constexpr int zones = 3;
    constexpr int loads = 5;

    // Counts the allocations of the measured loop.
    class AllocationCount {
    public:
        explicit AllocationCount(benchmark::State& state)
            : m_state(state)
            , m_before(allocationCount())
        {
        }
        ~AllocationCount() { m_state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocationCount() - m_before), benchmark::Counter::kAvgIterations); }
        AllocationCount(const AllocationCount&) = delete;
        AllocationCount& operator=(const AllocationCount&) = delete;

    private:
        benchmark::State& m_state;
        const std::int64_t m_before;
    };

    std::vector<Candidate> candidatesOf(std::int64_t count)
    {
        std::vector<Candidate> candidates(static_cast<std::size_t>(count));
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            candidates[index].slots = { 6 };
            candidates[index].inFlight = static_cast<int>(index % loads);
            candidates[index].sameZone = index % zones == 0;
        }
        return candidates;
    }

    void choose(benchmark::State& state)
    {
        const auto candidates = candidatesOf(state.range(0));
        std::mt19937_64 random(1);
        const AllocationCount count(state);
        for ([[maybe_unused]] auto step : state)
            benchmark::DoNotOptimize(chooseBackendServer(candidates, random()));
    }

    void eject(benchmark::State& state)
    {
        std::vector<ServerCondition> conditions(static_cast<std::size_t>(state.range(0)));
        for (ServerCondition& condition : conditions)
            condition.slots = { 6 };
        conditions.front().ejectionRequested = true;
        const AllocationCount count(state);
        for ([[maybe_unused]] auto step : state)
            benchmark::DoNotOptimize(decideEjections({ 60 }, conditions));
    }

    void budget(benchmark::State& state)
    {
        RetryBudget retries;
        const AllocationCount count(state);
        for ([[maybe_unused]] auto step : state) {
            deposit(retries);
            benchmark::DoNotOptimize(tryWithdraw(retries));
        }
    }

    class IdleEventLoop final : public EventLoop {
    public:
        void post(Handler) override { }
        void after(std::chrono::milliseconds, Handler) override { }
    };

    // A fleet with two services in five availability zones.
    struct Fleet {
        static constexpr int services = 2;
        static constexpr int placementZones = 5;
        ManualClock clock;
        GatewayBounds bounds;
        ServerRegistry registry;
        IdleEventLoop loop;
        PlacementCoordinator coordinator { registry, bounds, loop, clock, 1 };
        PlacementCell cell;

        explicit Fleet(int servers)
            : cell { ServiceId("service-0"), ZoneId("zone-0"), 0, cellCount(static_cast<std::size_t>(servers / services / placementZones)) }
        {
            clock.advance(std::chrono::hours(1));
            for (int index = 0; index < servers; ++index) {
                RegisteredServer server;
                server.id = BackendServerId("i-" + std::to_string(index));
                server.service = ServiceId("service-" + std::to_string(index % services));
                server.zone = ZoneId("zone-" + std::to_string(index % placementZones));
                server.endpoint = { "10.0.0.1", 80 };
                server.slots = SlotCount { 6 };
                server.heartbeat = 1;
                registry.apply({ server.id, { {}, LogOffset { static_cast<std::uint64_t>(index) } }, server, std::nullopt }, StoreHealth::Healthy, clock.now());
            }
            coordinator.update();
        }

        void end(const PlacementDecision& placed, double reportedLoad)
        {
            const PlacementOutcome outcome { *placed.server, placed.placementId, PlacementStatus::Succeeded, std::chrono::milliseconds(350), reportedLoad, false };
            coordinator.recordOutcomes(std::span(&outcome, 1));
        }
    };

    // One placement and its outcome at the coordinator of a cell.
    void place(benchmark::State& state)
    {
        Fleet fleet(static_cast<int>(state.range(0)));
        PlacementDemand demand;
        demand.service = fleet.cell.service;
        demand.route = RouteId("route");
        demand.latencyObjective = std::chrono::milliseconds(1200);
        demand.timeToDeadline = std::chrono::milliseconds(4000);
        for ([[maybe_unused]] auto step : state) {
            fleet.clock.advance(std::chrono::milliseconds(10));
            std::optional<PlacementDecision> decision;
            fleet.coordinator.place(fleet.cell, demand, [&decision](const std::optional<PlacementDecision>& answer) { decision = answer; });
            if (!decision || !decision->server)
                return state.SkipWithError("no server was chosen");
            fleet.end(*decision, 1);
        }
    }

    // The same while the servers are full: one request joins the queue, one outcome arrives, and one request gets its slot.
    void placeFromQueue(benchmark::State& state)
    {
        Fleet fleet(static_cast<int>(state.range(0)));
        PlacementDemand demand;
        demand.service = fleet.cell.service;
        demand.timeToDeadline = std::chrono::seconds(60);
        std::vector<PlacementDecision> placed;
        const auto ask = [&] {
            fleet.clock.advance(std::chrono::milliseconds(1));
            fleet.coordinator.place(fleet.cell, demand, [&placed](const std::optional<PlacementDecision>& answer) {
                if (answer && answer->server)
                    placed.push_back(*answer);
            });
        };
        while (fleet.coordinator.waitingDemands() < static_cast<std::size_t>(state.range(1)))
            ask();
        std::size_t next = 0;
        for ([[maybe_unused]] auto step : state) {
            ask();
            if (next >= placed.size())
                return state.SkipWithError("no request was placed");
            fleet.end(PlacementDecision(placed[next++]), 6);
        }
        state.counters["waiting"] = static_cast<double>(fleet.coordinator.waitingDemands());
    }

    BENCHMARK(place)->Arg(255)->Arg(660)->Arg(3500);
    BENCHMARK(placeFromQueue)->Args({ 255, 999 })->Args({ 3500, 999 });
    BENCHMARK(choose)->Arg(17)->Arg(170)->Arg(3500);
    BENCHMARK(eject)->Arg(17)->Arg(170)->Arg(3500);
    BENCHMARK(budget);

} // namespace

} // namespace lacewingsail::bench

BENCHMARK_MAIN();
