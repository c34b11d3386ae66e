#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct AccountPoolFixture {
    ManualClock clock;
    AccountPool pool;
    const TokensPerSecond rate { 30 };
    const MicroTokens burst = wholeTokens(30);

    DrawResult ask(int wanted = 1, PoolRank rank = PoolRank { 0 }) { return draw(pool, rate, burst, wanted, rank, clock.now()); }

    int drainFor(Duration time, PoolRank rank = PoolRank { 0 })
    {
        int granted = 0;
        const MonotonicTime end = clock.now() + time;
        while (clock.now() < end) {
            granted += ask(1, rank).granted;
            clock.advance(5ms);
        }
        return granted;
    }
};

} // namespace

TEST_CASE_FIXTURE(AccountPoolFixture, "draw, new keeper under full demand, stays far below another whole burst")
{
    CHECK(drainFor(1s) <= 30 + 30 * 4 / 10);
}

TEST_CASE_FIXTURE(AccountPoolFixture, "draw, demand far above the rate, gives the rate and no more")
{
    drainFor(2s);
    const int granted = drainFor(5s);
    CHECK(granted >= 149);
    CHECK(granted <= 151);
}

TEST_CASE_FIXTURE(AccountPoolFixture, "draw, pool full, gives blocks; pool scarce, single tokens")
{
    ask();
    clock.advance(2s);
    CHECK(ask(4).granted == 4);
    while (ask().granted > 0)
        continue;
    clock.advance(200ms);
    CHECK(ask(4).granted == 1);
}

TEST_CASE_FIXTURE(AccountPoolFixture, "draw, nothing left, says when the next token is there")
{
    while (ask().granted > 0)
        continue;
    const DrawResult refused = ask();
    CHECK(refused.retryAfter > 0ms);
    clock.advance(refused.retryAfter);
    CHECK(ask().granted == 1);
}

TEST_CASE_FIXTURE(AccountPoolFixture, "draw, host that is second by its own view, gives a fifth of the rate")
{
    drainFor(3s, PoolRank { 1 });
    const int granted = drainFor(5s, PoolRank { 1 });
    CHECK(granted >= 29);
    CHECK(granted <= 31);
}

TEST_CASE_FIXTURE(AccountPoolFixture, "draw, limit lowered, never keeps more than the new burst")
{
    ask();
    clock.advance(3s);
    int granted = 0;
    while (draw(pool, TokensPerSecond { 2 }, wholeTokens(3), 1, PoolRank { 0 }, clock.now()).granted > 0)
        ++granted;
    CHECK(granted <= 3);
}

TEST_CASE_FIXTURE(AccountPoolFixture, "take, drawn tokens past their term, gives none")
{
    DrawnTokens tokens { 2, clock.now() + 800ms };
    CHECK(take(tokens, clock.now()));
    clock.advance(800ms);
    CHECK_FALSE(take(tokens, clock.now()));
}
