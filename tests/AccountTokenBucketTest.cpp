#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct AccountTokenBucketFixture {
    ManualClock clock;
    AccountTokenBucket pool;
    const TokensPerSecond rate { 30 };
    const MicroTokens burst = wholeTokens(30);

    TokenGrant ask(int wanted = 1, CoordinatorRank rank = CoordinatorRank { 0 }) { return grantTokens(pool, rate, burst, wanted, rank, clock.now()); }

    int drainFor(Duration time, CoordinatorRank rank = CoordinatorRank { 0 })
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

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "draw, new keeper under full demand, stays far below another whole burst")
{
    CHECK(drainFor(1s) <= 30 + 30 * 4 / 10);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "draw, demand far above the rate, gives the rate and no more")
{
    drainFor(2s);
    const int granted = drainFor(5s);
    CHECK(granted >= 149);
    CHECK(granted <= 151);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "draw, pool full, gives blocks; pool scarce, single tokens")
{
    ask();
    clock.advance(2s);
    CHECK(ask(4).granted == 4);
    while (ask().granted > 0)
        continue;
    clock.advance(200ms);
    CHECK(ask(4).granted == 1);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "draw, nothing left, says when the next token is there")
{
    while (ask().granted > 0)
        continue;
    const TokenGrant refused = ask();
    CHECK(refused.retryAfter > 0ms);
    clock.advance(refused.retryAfter);
    CHECK(ask().granted == 1);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "draw, host that is second by its own view, gives a fifth of the rate")
{
    drainFor(3s, CoordinatorRank { 1 });
    const int granted = drainFor(5s, CoordinatorRank { 1 });
    CHECK(granted >= 29);
    CHECK(granted <= 31);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "draw, limit lowered, never keeps more than the new burst")
{
    ask();
    clock.advance(3s);
    int granted = 0;
    while (grantTokens(pool, TokensPerSecond { 2 }, wholeTokens(3), 1, CoordinatorRank { 0 }, clock.now()).granted > 0)
        ++granted;
    CHECK(granted <= 3);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "take, drawn tokens past their term, gives none")
{
    PrefetchedTokens tokens { 2, clock.now() + 800ms };
    CHECK(tryConsume(tokens, clock.now()));
    clock.advance(800ms);
    CHECK_FALSE(tryConsume(tokens, clock.now()));
}
