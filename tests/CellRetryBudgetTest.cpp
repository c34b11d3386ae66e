#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct CellRetryBudgetFixture {
    ManualClock clock;
    GatewayBounds bounds;
};

} // namespace

TEST_CASE_FIXTURE(CellRetryBudgetFixture, "take, all keepers give whatever they may, stay within the operators' bound in a window")
{
    constexpr std::size_t cells = 3;
    const RetryBudgetParameters terms = cellRetryBudgetParameters(bounds, 1.0 / cells);
    std::vector<CellRetryBudget> keepers(cells);
    double requests = 0;
    double retries = 0;
    const auto useAll = [&](CellRetryBudget& allowance) {
        while (tryWithdraw(allowance, terms, clock.now()))
            retries += 1;
    };
    // What has been saved up before the window counts in it too.
    for (int second = 0; second < 60; ++second) {
        clock.advance(1s);
        for (CellRetryBudget& allowance : keepers)
            deposit(allowance, terms, clock.now());
    }
    for (int step = 0; step < 1000; ++step) {
        CellRetryBudget& allowance = keepers[static_cast<std::size_t>(step) % cells];
        deposit(allowance, terms, clock.now());
        requests += 1;
        useAll(allowance);
        // One keeper ends within the window, and another host begins in its place.
        if (step == 500)
            keepers[0] = {};
        clock.advance(10ms);
    }
    CHECK(retries <= bounds.retryRatio * requests + bounds.retrySlack);
    CHECK(retries >= bounds.retryRatio * requests * 0.8);
}

TEST_CASE_FIXTURE(CellRetryBudgetFixture, "take, keeper that has just begun, has saved nothing")
{
    CellRetryBudget allowance;
    CHECK_FALSE(tryWithdraw(allowance, cellRetryBudgetParameters(bounds, 1), clock.now()));
}

TEST_CASE_FIXTURE(CellRetryBudgetFixture, "take, nothing earned and nothing saved, gives none")
{
    const RetryBudgetParameters terms { 0.1, 0, 1 };
    CellRetryBudget allowance;
    CHECK_FALSE(tryWithdraw(allowance, terms, clock.now()));
    for (int request = 0; request < 11; ++request)
        deposit(allowance, terms, clock.now());
    CHECK(tryWithdraw(allowance, terms, clock.now()));
    CHECK_FALSE(tryWithdraw(allowance, terms, clock.now()));
    for (int request = 0; request < 11; ++request)
        deposit(allowance, terms, clock.now());
    CHECK(tryWithdraw(allowance, terms, clock.now()));
}
