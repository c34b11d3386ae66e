/// \brief `bench-decisions`: time and allocations of each decision, by the number of backend servers.

#include "Allocations.h"

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

    BENCHMARK(choose)->Arg(17)->Arg(170)->Arg(3500);
    BENCHMARK(eject)->Arg(17)->Arg(170)->Arg(3500);
    BENCHMARK(budget);

} // namespace

} // namespace lacewingsail::bench

BENCHMARK_MAIN();
