#include <lacewingsail/Observe.h>

#include <doctest/doctest.h>

using namespace lacewingsail;

namespace {

struct MetricsFixture {
    Metrics metrics { 2 };
};

} // namespace

TEST_CASE_FIXTURE(MetricsFixture, "counter, more values than allowed, share one series")
{
    metrics.counter("requests", "account", "a") = 1;
    metrics.counter("requests", "account", "b") = 2;
    metrics.counter("requests", "account", "c") += 3;
    metrics.counter("requests", "account", "d") += 4;
    CHECK(metrics.prometheusText().find("requests{account=\"other\"} 7\n") != std::string::npos);
}

TEST_CASE_FIXTURE(MetricsFixture, "SeriesFamily, same value twice, is the same series")
{
    CounterFamily family(metrics, "requests", "account");
    CHECK(&family.at("a") == &family.at("a"));
    CHECK(&family.at("a") == &metrics.counter("requests", "account", "a"));
}

TEST_CASE_FIXTURE(MetricsFixture, "latency, filled once, is counted in the bin that holds it and all above")
{
    metrics.latency("time", "account", "a").fill(std::chrono::milliseconds(5));
    const auto bins = metrics.latency("time", "account", "a").bins();
    std::uint64_t total = 0;
    for (std::size_t index = 0; index < bins.size(); ++index) {
        total += bins[index].count;
        if (bins[index].count == 1) {
            CHECK(bins[index].upperBound > std::chrono::milliseconds(5));
            CHECK(bins[index - 1].upperBound <= std::chrono::milliseconds(5));
        }
    }
    CHECK(total == 1);
}
