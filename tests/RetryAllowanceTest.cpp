#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct RetryAllowanceFixture {
    ManualClock clock;
    GatewayBounds bounds;
};

} // namespace

TEST_CASE_FIXTURE(RetryAllowanceFixture, "take, all keepers and hosts retry whatever they may, stay within the operators' bound in a window")
{
    constexpr std::size_t hosts = 40;
    constexpr std::size_t cells = 3;
    const RetryTerms keeperTerms = keeperRetryTerms(bounds, 1.0 / cells);
    const RetryTerms ownTerms = ownRetryTerms(bounds);
    std::vector<RetryAllowance> keepers(cells);
    std::vector<RetryAllowance> own(hosts);
    double requests = 0;
    double retries = 0;
    const auto use = [&](RetryAllowance& allowance, const RetryTerms& terms, bool request) {
        if (request)
            earn(allowance, terms, clock.now());
        while (take(allowance, terms, clock.now()))
            retries += 1;
    };
    // What has been saved up before the window counts in it too.
    for (int second = 0; second < 60; ++second) {
        clock.advance(1s);
        for (RetryAllowance& allowance : keepers)
            earn(allowance, keeperTerms, clock.now());
        for (RetryAllowance& allowance : own)
            earn(allowance, ownTerms, clock.now());
    }
    for (int step = 0; step < 100; ++step) {
        for (std::size_t index = 0; index < hosts; ++index) {
            const bool request = step % 3 == 0;
            requests += request ? 1 : 0;
            use(own[index], ownTerms, request);
            use(keepers[index % cells], keeperTerms, request);
        }
        clock.advance(100ms);
    }
    CHECK(retries <= bounds.retryRatio * requests + bounds.retrySlack);
    CHECK(retries >= bounds.retryRatio * requests * 0.8);
}

TEST_CASE_FIXTURE(RetryAllowanceFixture, "take, keeper that has just begun, has saved nothing")
{
    RetryAllowance allowance;
    CHECK_FALSE(take(allowance, keeperRetryTerms(bounds, 1), clock.now()));
}

TEST_CASE_FIXTURE(RetryAllowanceFixture, "take, nothing earned and nothing saved, gives none")
{
    const RetryTerms terms { 0.1, 0, 1 };
    RetryAllowance allowance;
    CHECK_FALSE(take(allowance, terms, clock.now()));
    for (int request = 0; request < 11; ++request)
        earn(allowance, terms, clock.now());
    CHECK(take(allowance, terms, clock.now()));
    CHECK_FALSE(take(allowance, terms, clock.now()));
    for (int request = 0; request < 11; ++request)
        earn(allowance, terms, clock.now());
    CHECK(take(allowance, terms, clock.now()));
}
