#include <lacewingsail/World.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

std::chrono::nanoseconds simulatedTimeSinceBoot { 1h };

std::chrono::nanoseconds readSimulatedTime() { return simulatedTimeSinceBoot; }

} // namespace

TEST_CASE("SystemClock, machine suspended for 12 s, counts them")
{
    const SystemClock clock(readSimulatedTime);
    const MonotonicTime before = clock.now();
    simulatedTimeSinceBoot += 12s;
    CHECK(clock.now() - before == 12s);
}

TEST_CASE("SystemClock, no suspension, agrees with the clock of the timers")
{
    const SystemClock clock;
    const auto before = std::chrono::steady_clock::now();
    const MonotonicTime now = clock.now();
    const auto after = std::chrono::steady_clock::now();
    CHECK(now - before > -1ms);
    CHECK(now - after < 1ms);
}
