#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <deque>
#include <random>

using namespace lacewingsail;

namespace {

/// \brief Simulates many hosts that place requests by outdated knowledge of the servers' load.
///
/// One step is 25 ms. Servers have slots and a queue, and requests take a fixed time with some random variation. The hosts
/// know the load as of the last exchange, smoothed as in the gateway.
struct StaleLoadFixture {
    static constexpr int serverCount = 17;
    static constexpr int slots = 6;
    static constexpr int stepsPerSecond = 40;
    static constexpr int exchangeSteps = 20;
    static constexpr double processingSteps = 0.36 * stepsPerSecond;
    static constexpr double smoothing = 0.5;

    std::mt19937_64 random { 7 };
    bool ignoresLoad = false;
    std::vector<std::deque<int>> servers { serverCount };
    std::vector<double> knownLoad = std::vector<double>(serverCount, 0);
    int placed = 0;
    int queued = 0;

    void advance(int step)
    {
        for (auto& server : servers)
            std::erase_if(server, [&](int until) { return until <= step; });
        if (step % exchangeSteps != 0)
            return;
        for (int index = 0; index < serverCount; ++index) {
            const auto load = static_cast<double>(servers[static_cast<std::size_t>(index)].size());
            double& known = knownLoad[static_cast<std::size_t>(index)];
            known = load + (known - load) * smoothing;
        }
    }

    void arrive(int step)
    {
        std::vector<PlacementCandidate> candidates(serverCount);
        for (int index = 0; index < serverCount; ++index) {
            candidates[static_cast<std::size_t>(index)].slots = SlotCount { slots };
            candidates[static_cast<std::size_t>(index)].load = ignoresLoad ? 0 : knownLoad[static_cast<std::size_t>(index)];
            candidates[static_cast<std::size_t>(index)].sameZone = true;
        }
        std::uniform_real_distribution<double> uniform(0, 1);
        const auto chosen = chooseWeighted(candidates, {}, uniform(random));
        ++placed;
        REQUIRE(chosen);
        auto& server = servers[*chosen];
        const bool waits = server.size() >= slots;
        queued += waits ? 1 : 0;
        const double time = processingSteps * (0.7 + 0.6 * uniform(random)) * (waits ? 1 + static_cast<double>(server.size() - slots + 1) / slots : 1);
        server.push_back(step + static_cast<int>(time));
    }

    // Share of the requests that find every slot of their server busy.
    double queuedShare(double requestsPerSecond)
    {
        std::poisson_distribution<int> arrivals(requestsPerSecond / stepsPerSecond);
        for (int step = 0; step < 60 * stepsPerSecond; ++step) {
            advance(step);
            const int count = arrivals(random);
            for (int request = 0; request < count; ++request)
                arrive(step);
        }
        return static_cast<double>(queued) / placed;
    }
};

} // namespace

TEST_CASE_FIXTURE(StaleLoadFixture, "chooseWeighted, known load half a second old and servers two thirds busy, queues less than without known load")
{
    StaleLoadFixture withoutLoad;
    withoutLoad.ignoresLoad = true;
    CHECK(queuedShare(185) < withoutLoad.queuedShare(185));
}
