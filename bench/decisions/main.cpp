/// \brief `bench-decisions`: time and allocations of each decision, by the number of backend servers.

#include <lacewingsail/Policy.h>

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>
#include <random>

namespace {

std::atomic<std::int64_t> allocations { 0 };

} // namespace

void* operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void* memory = std::malloc(size)) // NOLINT: the replacement of operator new
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept { std::free(memory); } // NOLINT: see above
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); } // NOLINT: see above

namespace lacewingsail::bench {

namespace {

    constexpr int zones = 3;
    constexpr int loads = 5;

    // Counts the allocations of the measured loop.
    class AllocationCount {
    public:
        explicit AllocationCount(benchmark::State& state)
            : m_state(state)
            , m_before(allocations)
        {
        }
        ~AllocationCount() { m_state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations - m_before), benchmark::Counter::kAvgIterations); }
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
        conditions.front().condemned = true;
        const AllocationCount count(state);
        for ([[maybe_unused]] auto step : state)
            benchmark::DoNotOptimize(decideEjections({ 60 }, conditions));
    }

    void budget(benchmark::State& state)
    {
        RetryBudget retries;
        const AllocationCount count(state);
        for ([[maybe_unused]] auto step : state) {
            earn(retries);
            benchmark::DoNotOptimize(take(retries));
        }
    }

    BENCHMARK(choose)->Arg(17)->Arg(170)->Arg(3500);
    BENCHMARK(eject)->Arg(17)->Arg(170)->Arg(3500);
    BENCHMARK(budget);

} // namespace

} // namespace lacewingsail::bench

BENCHMARK_MAIN();
