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

TEST_CASE_FIXTURE(RetryAllowanceFixture, "take, all hosts retry whatever they may, stay within the operators' bound in a window")
{
    constexpr std::size_t hosts = 40;
    const RetryTerms terms = retryTerms(bounds, hosts);
    double requests = 0;
    double retries = 0;
    std::vector<RetryAllowance> allowances(hosts);
    for (int step = 0; step < 100; ++step) {
        for (RetryAllowance& allowance : allowances) {
            if (step % 3 == 0) {
                earn(allowance, terms, clock.now());
                requests += 1;
            }
            while (take(allowance, terms, clock.now()))
                retries += 1;
        }
        clock.advance(100ms);
    }
    CHECK(retries <= bounds.retryRatio * requests + bounds.retrySlack + hosts);
    CHECK(retries >= bounds.retryRatio * requests * 0.8);
}

TEST_CASE_FIXTURE(RetryAllowanceFixture, "take, nothing earned and nothing saved, gives none")
{
    const RetryTerms terms { 0.1, 0, 1 };
    RetryAllowance allowance;
    CHECK(take(allowance, terms, clock.now()));
    CHECK_FALSE(take(allowance, terms, clock.now()));
    for (int request = 0; request < 11; ++request)
        earn(allowance, terms, clock.now());
    CHECK(take(allowance, terms, clock.now()));
}
