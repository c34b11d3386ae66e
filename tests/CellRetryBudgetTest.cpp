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

TEST_CASE_FIXTURE(CellRetryBudgetFixture, "tryWithdraw, all coordinators use their whole budgets, stay within the operators' bound in a window")
{
    constexpr std::size_t cells = 3;
    const RetryBudgetParameters parameters = cellRetryBudgetParameters(bounds, 1.0 / cells);
    std::vector<CellRetryBudget> budgets(cells);
    double requests = 0;
    double retries = 0;
    const auto useAll = [&](CellRetryBudget& budget) {
        while (tryWithdraw(budget, parameters, Priority {}, clock.now()))
            retries += 1;
    };
    // Retries saved before the window also count in it.
    for (int second = 0; second < 60; ++second) {
        clock.advance(1s);
        for (CellRetryBudget& budget : budgets)
            deposit(budget, parameters, clock.now());
    }
    for (int step = 0; step < 1000; ++step) {
        CellRetryBudget& budget = budgets[static_cast<std::size_t>(step) % cells];
        deposit(budget, parameters, clock.now());
        requests += 1;
        useAll(budget);
        // One coordinator stops within the window, and another host takes over its cell.
        if (step == 500)
            budgets[0] = {};
        clock.advance(10ms);
    }
    CHECK(retries <= bounds.retryRatio * requests + bounds.retrySlack);
    CHECK(retries >= bounds.retryRatio * requests * 0.8);
}

TEST_CASE_FIXTURE(CellRetryBudgetFixture, "tryWithdraw, new coordinator, has nothing saved")
{
    CellRetryBudget budget;
    CHECK_FALSE(tryWithdraw(budget, cellRetryBudgetParameters(bounds, 1), Priority {}, clock.now()));
}

TEST_CASE_FIXTURE(CellRetryBudgetFixture, "tryWithdraw, nothing deposited and nothing saved, returns false")
{
    const RetryBudgetParameters parameters { 0.1, 0, 1 };
    CellRetryBudget budget;
    CHECK_FALSE(tryWithdraw(budget, parameters, Priority {}, clock.now()));
    for (int request = 0; request < 11; ++request)
        deposit(budget, parameters, clock.now());
    CHECK(tryWithdraw(budget, parameters, Priority {}, clock.now()));
    CHECK_FALSE(tryWithdraw(budget, parameters, Priority {}, clock.now()));
    for (int request = 0; request < 11; ++request)
        deposit(budget, parameters, clock.now());
    CHECK(tryWithdraw(budget, parameters, Priority {}, clock.now()));
}

TEST_CASE_FIXTURE(CellRetryBudgetFixture, "tryWithdraw, urgent requests are retried, less urgent ones leave them a part")
{
    const RetryBudgetParameters parameters { 1, 0, 10 };
    const auto withdraw = [&](CellRetryBudget& budget, Priority priority) {
        int taken = 0;
        while (tryWithdraw(budget, parameters, priority, clock.now()))
            ++taken;
        return taken;
    };
    CellRetryBudget budget;
    const auto fill = [&] {
        for (int request = 0; request < 20; ++request)
            deposit(budget, parameters, clock.now());
    };
    fill();
    CHECK(withdraw(budget, Priority { 2 }) == 10);
    fill();
    CHECK(tryWithdraw(budget, parameters, Priority { 1 }, clock.now()));
    CHECK(withdraw(budget, Priority { 2 }) == 5);
    CHECK(withdraw(budget, Priority { 0 }) == 4);
    clock.advance(10s);
    fill();
    CHECK(withdraw(budget, Priority { 2 }) == 10);
}
