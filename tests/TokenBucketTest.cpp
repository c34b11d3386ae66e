#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;

namespace {

struct TokenBucketFixture {
    ManualClock clock;
    TokenBucket bucket { wholeTokens(3), wholeTokens(3), { 2 }, clock.now() };

    int takeAll()
    {
        int taken = 0;
        while (tryConsume(bucket, oneToken, clock.now()))
            ++taken;
        return taken;
    }
};

} // namespace

TEST_CASE_FIXTURE(TokenBucketFixture, "take, full bucket, gives exactly the burst")
{
    CHECK(takeAll() == 3);
}

TEST_CASE_FIXTURE(TokenBucketFixture, "take, after a while, gives exactly the rate")
{
    takeAll();
    clock.advance(std::chrono::milliseconds(1000));
    CHECK(takeAll() == 2);
}

TEST_CASE_FIXTURE(TokenBucketFixture, "take, after a long pause, gives no more than the burst")
{
    takeAll();
    clock.advance(std::chrono::hours(24 * 365));
    CHECK(takeAll() == 3);
}
