#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;

namespace {

struct TokenBucketFixture {
    ManualClock clock;
    TokenBucket bucket { wholeTokens(3), wholeTokens(3), { 2 }, clock.now() };

    int consumeAll()
    {
        int consumed = 0;
        while (tryConsume(bucket, oneToken, clock.now()))
            ++consumed;
        return consumed;
    }
};

} // namespace

TEST_CASE_FIXTURE(TokenBucketFixture, "tryConsume, full bucket, grants exactly the burst")
{
    CHECK(consumeAll() == 3);
}

TEST_CASE_FIXTURE(TokenBucketFixture, "tryConsume, after one second, grants exactly the rate")
{
    consumeAll();
    clock.advance(std::chrono::milliseconds(1000));
    CHECK(consumeAll() == 2);
}

TEST_CASE_FIXTURE(TokenBucketFixture, "tryConsume, after a long pause, grants no more than the burst")
{
    consumeAll();
    clock.advance(std::chrono::hours(24 * 365));
    CHECK(consumeAll() == 3);
}
