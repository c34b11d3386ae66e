#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <deque>
#include <random>

using namespace lacewingsail;

namespace {

/// \brief Replays many hosts that place requests by an old sight of the servers' load.
///
/// One step is 25 ms. Servers have slots and a queue, requests take a fixed time with some spread, and every host sees the
/// load as it was some steps ago, smoothed as the gateway does.
struct StaleLoadFixture {
    static constexpr int serverCount = 17;
    static constexpr int slots = 6;
    static constexpr int stepsASecond = 40;
    static constexpr int sightSteps = 20;
    static constexpr double workSteps = 0.36 * stepsASecond;
    static constexpr double smoothing = 0.5;

    std::mt19937_64 random { 7 };
    bool blind = false;
    std::vector<std::deque<int>> servers { serverCount };
    std::vector<double> sight = std::vector<double>(serverCount, 0);
    int placed = 0;
    int queued = 0;

    void work(int step)
    {
        for (auto& server : servers)
            std::erase_if(server, [&](int until) { return until <= step; });
        if (step % sightSteps != 0)
            return;
        for (int index = 0; index < serverCount; ++index) {
            const auto load = static_cast<double>(servers[static_cast<std::size_t>(index)].size());
            double& seen = sight[static_cast<std::size_t>(index)];
            seen = load + (seen - load) * smoothing;
        }
    }

    void arrive(int step)
    {
        std::vector<PlacementCandidate> sights(serverCount);
        for (int index = 0; index < serverCount; ++index) {
            sights[static_cast<std::size_t>(index)].slots = SlotCount { slots };
            sights[static_cast<std::size_t>(index)].load = blind ? 0 : sight[static_cast<std::size_t>(index)];
            sights[static_cast<std::size_t>(index)].sameZone = true;
        }
        std::uniform_real_distribution<double> uniform(0, 1);
        const auto chosen = chooseWeighted(sights, {}, uniform(random));
        ++placed;
        REQUIRE(chosen);
        auto& server = servers[*chosen];
        const bool waits = server.size() >= slots;
        queued += waits ? 1 : 0;
        const double time = workSteps * (0.7 + 0.6 * uniform(random)) * (waits ? 1 + static_cast<double>(server.size() - slots + 1) / slots : 1);
        server.push_back(step + static_cast<int>(time));
    }

    // Share of requests that found every slot of their server busy.
    double queuedShare(double requestsASecond)
    {
        std::poisson_distribution<int> arrivals(requestsASecond / stepsASecond);
        for (int step = 0; step < 60 * stepsASecond; ++step) {
            work(step);
            const int count = arrivals(random);
            for (int request = 0; request < count; ++request)
                arrive(step);
        }
        return static_cast<double>(queued) / placed;
    }
};

} // namespace

TEST_CASE_FIXTURE(StaleLoadFixture, "place, sight half a second old and servers busy to two thirds, does no worse than without sight")
{
    StaleLoadFixture withoutSight;
    withoutSight.blind = true;
    CHECK(queuedShare(185) < withoutSight.queuedShare(185));
}
