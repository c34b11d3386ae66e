#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <random>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct AccountTokenBucketFixture {
    ManualClock clock;
    AccountTokenBucket bucket;
    const AccountLimit limit { wholeTokens(30), wholeTokens(30) };
    GrantAuthority authority { 1, {} };
    std::mt19937_64 random { 1 };

    AccountTokenBucketFixture()
    {
        clock.advance(1h);
        authority.since = clock.now();
    }

    TokenGrant requestFrom(AccountTokenBucket& from, int requested = 1)
    {
        return grantTokens(from, limit, authority, requested, std::uniform_real_distribution<double>(0, 1)(random), clock.now());
    }

    TokenGrant request(int requested = 1) { return requestFrom(bucket, requested); }

    int requestFor(Duration time)
    {
        int granted = 0;
        const MonotonicTime end = clock.now() + time;
        while (clock.now() < end) {
            granted += request().granted;
            clock.advance(5ms);
        }
        return granted;
    }
};

} // namespace

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "grantTokens, new coordinator under full demand, grants only what accrues from then on")
{
    CHECK(requestFor(1s) <= 30);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "grantTokens, coordinator again after another one, grants nothing that accrued in between")
{
    requestFor(1s);
    clock.advance(1min);
    authority.since = clock.now();
    CHECK(request().granted == 0);
    CHECK(requestFor(1s) <= 30);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "grantTokens, coordinator for long, grants the whole burst at once")
{
    clock.advance(1min);
    int granted = 0;
    while (request().granted > 0)
        ++granted;
    CHECK(granted == 30);
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

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "grantTokens, part of the fleet, grants that part of rate and burst")
{
    authority.share = 0.2;
    clock.advance(1min);
    const int granted = requestFor(5s);
    CHECK(granted >= 35);
    CHECK(granted <= 36);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "grantTokens, no share, grants nothing")
{
    authority.share = 0;
    clock.advance(1min);
    CHECK(request().granted == 0);
}

// Each of many hosts alone holds less than a token: rounded up, they would grant many times the rate together.
TEST_CASE_FIXTURE(AccountTokenBucketFixture, "grantTokens, shares below a whole token on many hosts, grant the rate together")
{
    constexpr std::size_t hosts = 430;
    authority.share = 1.0 / hosts;
    std::vector<AccountTokenBucket> buckets(hosts);
    const auto grantedIn = [&](Duration time) {
        int granted = 0;
        const MonotonicTime end = clock.now() + time;
        while (clock.now() < end) {
            for (AccountTokenBucket& each : buckets)
                granted += requestFrom(each).granted;
            clock.advance(100ms);
        }
        return granted;
    };
    grantedIn(2s);
    const int granted = grantedIn(50s);
    CHECK(granted >= 1350);
    CHECK(granted <= 1650);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "grantTokens, limit lowered, grants no more than the new burst")
{
    request();
    clock.advance(3s);
    int granted = 0;
    while (grantTokens(bucket, { wholeTokens(2), wholeTokens(3) }, authority, 1, 0, clock.now()).granted > 0)
        ++granted;
    CHECK(granted <= 3);
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "limitWithoutCoordinator, default tolerance, is half of the tolerated overshoot")
{
    const GatewayBounds bounds;
    const AccountLimit part = limitWithoutCoordinator(limit, bounds);
    const double window = std::chrono::duration<double>(bounds.rateWindow).count();
    const double granted = static_cast<double>(part.burst.value) + static_cast<double>(part.perSecond.value) * window;
    CHECK(granted / static_cast<double>(oneToken.value) == doctest::Approx(0.5 * (0.1 * (30 * 5 + 30) + 20)));
}

TEST_CASE_FIXTURE(AccountTokenBucketFixture, "tryConsume, tokens expired, returns false")
{
    PrefetchedTokens tokens { 2, clock.now() + 800ms };
    CHECK(tryConsume(tokens, clock.now()));
    clock.advance(800ms);
    CHECK_FALSE(tryConsume(tokens, clock.now()));
}
