#include <lacewingsail/Exchange.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

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
    } };
    FleetDirectory directory { LiveHost { HostId("self"), ZoneId("a"), { "10.0.0.1", 80 } } };
    AccountRateLimiter tokens { directory, active, clock };

    AccountRateLimiterFixture()
    {
        clock.advance(1h);
        active.applyIfNewer("a");
    }

    ClientAccount account() const { return active.current()->published.configuration.accounts.front(); }

    int takeMany(int count)
    {
        int granted = 0;
        for (int index = 0; index < count; ++index)
            tokens.acquire(account(), [&](TokenGrant result) { granted += result.granted; });
        return granted;
    }
};

} // namespace

TEST_CASE_FIXTURE(AccountRateLimiterFixture, "take, single host, holds the account to its rate")
{
    takeMany(200);
    int granted = 0;
    for (int second = 0; second < 50; ++second) {
        clock.advance(100ms);
        granted += takeMany(20);
    }
    CHECK(granted >= 48);
    CHECK(granted <= 52);
}

TEST_CASE_FIXTURE(AccountRateLimiterFixture, "give, account that the configuration does not name, is unknown")
{
    CHECK_FALSE(tokens.grant({ ClientAccountId("skane"), 1 }));
    CHECK_FALSE(tokens.grant({ ClientAccountId("norrland"), 0 }));
    CHECK(tokens.grant({ ClientAccountId("norrland"), 1 }));
}

TEST_CASE_FIXTURE(AccountRateLimiterFixture, "take, account that a newer configuration has dropped, answers once")
{
    const ClientAccount before = account();
    active.applyIfNewer("bb");
    int answers = 0;
    tokens.acquire(before, [&](TokenGrant) { ++answers; });
    CHECK(answers == 1);
}

TEST_CASE_FIXTURE(AccountRateLimiterFixture, "give, asked as the second in order, has the first one verified")
{
    HostId verified;
    tokens.setCoordinatorProbe([&](const LiveHost& host) { verified = host.id; });
    int names = 0;
    // Some host is ranked before this one sooner or later.
    while (verified.empty() && names < 64) {
        directory.recordAlive({ HostId("other-" + std::to_string(names)), ZoneId("a"), { "10.0.0.2", 80 } }, clock.now(), false);
        ++names;
        tokens.grant({ ClientAccountId("norrland"), 1 });
    }
    CHECK_FALSE(verified.empty());
}
