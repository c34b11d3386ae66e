#include <lacewingsail/Exchange.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

/// \brief Configurations whose version is the length of the text; the account exists in those that start with 'a'.
struct AccountRateLimiterFixture {
    ManualClock clock;
    ActiveConfiguration active { [](const std::string& text) -> std::optional<PublishedConfiguration> {
                                    PublishedConfiguration published;
                                    published.version = ConfigurationVersion { text.size() };
                                    ClientAccount account;
                                    account.id = ClientAccountId("norrland");
                                    account.rate = TokensPerSecond { 10 };
                                    account.burst = wholeTokens(10);
                                    if (text.front() == 'a')
                                        published.configuration.accounts = { account };
                                    return published;
                                },
        clock };
    FleetDirectory directory { LiveHost { HostId("self"), ZoneId("a"), { "10.0.0.1", 80 } } };
    GatewayBounds bounds;
    std::mt19937_64 random { 1 };
    AccountRateLimiter limiter { directory, active, bounds, clock, random };

    AccountRateLimiterFixture()
    {
        clock.advance(1h);
        directory.recordFleetSize({ 1, clock.now() });
        active.applyIfNewer("a", "store");
    }

    ClientAccount account() const { return active.current()->published.configuration.accounts.front(); }

    int acquireTokens(int count)
    {
        int granted = 0;
        for (int index = 0; index < count; ++index)
            limiter.acquire(account(), [&](TokenGrant result) { granted += result.granted; });
        return granted;
    }
};

} // namespace

TEST_CASE_FIXTURE(AccountRateLimiterFixture, "acquire, single host, limits the account to its rate")
{
    acquireTokens(200);
    int granted = 0;
    for (int second = 0; second < 50; ++second) {
        clock.advance(100ms);
        granted += acquireTokens(20);
    }
    CHECK(granted >= 48);
    CHECK(granted <= 52);
}

TEST_CASE_FIXTURE(AccountRateLimiterFixture, "grant, account that the configuration does not name, returns nothing")
{
    CHECK_FALSE(limiter.grant({ ClientAccountId("skane"), 1 }));
    CHECK_FALSE(limiter.grant({ ClientAccountId("norrland"), 0 }));
    CHECK(limiter.grant({ ClientAccountId("norrland"), 1 }));
}

TEST_CASE_FIXTURE(AccountRateLimiterFixture, "acquire, account removed by a newer configuration, calls back once")
{
    const ClientAccount removed = account();
    active.applyIfNewer("bb", "store");
    int callbacks = 0;
    limiter.acquire(removed, [&](TokenGrant) { ++callbacks; });
    CHECK(callbacks == 1);
}

TEST_CASE_FIXTURE(AccountRateLimiterFixture, "grant, asked as the second-ranked coordinator, probes the first")
{
    HostId probed;
    limiter.setCoordinatorProbe([&](const LiveHost& host) { probed = host.id; });
    int others = 0;
    // Among enough hosts, some host is ranked before this one.
    while (probed.empty() && others < 64) {
        directory.recordAlive({ HostId("other-" + std::to_string(others)), ZoneId("a"), { "10.0.0.2", 80 } }, clock.now(), {}, false);
        ++others;
        limiter.grant({ ClientAccountId("norrland"), 1 });
    }
    CHECK_FALSE(probed.empty());
}
