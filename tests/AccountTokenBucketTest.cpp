#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct AccountTokenBucketFixture {
    ManualClock clock;
    AccountTokenBucket bucket;
    const TokensPerSecond rate { 30 };
    const MicroTokens burst = wholeTokens(30);

    TokenGrant request(int requested = 1, CoordinatorRank rank = CoordinatorRank { 0 }) { return grantTokens(bucket, rate, burst, requested, rank, clock.now()); }

    int requestFor(Duration time, CoordinatorRank rank = CoordinatorRank { 0 })
    {
        int granted = 0;
        const MonotonicTime end = clock.now() + time;
        while (clock.now() < end) {
            granted += request(1, rank).granted;
            clock.advance(5ms);
        }
        return granted;
    }
};

} // namespace

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "grantTokens, new coordinator under full demand, grants far less than another whole burst")
{
    CHECK(requestFor(1s) <= 30 + 30 * 4 / 10);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "grantTokens, demand far above the rate, grants the rate and no more")
{
    requestFor(2s);
    const int granted = requestFor(5s);
    CHECK(granted >= 149);
    CHECK(granted <= 151);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "grantTokens, bucket full, grants blocks; bucket low, single tokens")
{
    request();
    clock.advance(2s);
    CHECK(request(4).granted == 4);
    while (request().granted > 0)
        continue;
    clock.advance(200ms);
    CHECK(request(4).granted == 1);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "grantTokens, bucket empty, returns when the next token is available")
{
    while (request().granted > 0)
        continue;
    const TokenGrant refused = request();
    CHECK(refused.retryAfter > 0ms);
    clock.advance(refused.retryAfter);
    CHECK(request().granted == 1);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "grantTokens, host ranked second by its own view, grants a fifth of the rate")
{
    requestFor(3s, CoordinatorRank { 1 });
    const int granted = requestFor(5s, CoordinatorRank { 1 });
    CHECK(granted >= 29);
    CHECK(granted <= 31);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "grantTokens, limit lowered, grants no more than the new burst")
{
    request();
    clock.advance(3s);
    int granted = 0;
    while (grantTokens(bucket, TokensPerSecond { 2 }, wholeTokens(3), 1, CoordinatorRank { 0 }, clock.now()).granted > 0)
        ++granted;
    CHECK(granted <= 3);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "tryConsume, tokens expired, returns false")
{
    PrefetchedTokens tokens { 2, clock.now() + 800ms };
    CHECK(tryConsume(tokens, clock.now()));
    clock.advance(800ms);
    CHECK_FALSE(tryConsume(tokens, clock.now()));
}
