#include "FakePlatform.h"

#include <doctest/doctest.h>

using namespace lacewingsail;

namespace {

struct PublicationFixture {
    FakeLog log;
    FakeLogService service { log };
    SystemClock clock;

    PublicationResult publishAs(const std::string& author, const ConfigurationFold& base, std::int64_t rate)
    {
        const ConfigurationChange change { author + "-" + std::to_string(rate), author, base.version, shortestContent(base, smallConfiguration(rate)) };
        return publish(service, change, base, std::chrono::milliseconds(0), clock);
    }

    ConfigurationFold inForce()
    {
        std::error_code error;
        ConfigurationFold fold = readConfiguration(service, {}, error);
        CHECK_FALSE(error);
        return fold;
    }
};

} // namespace

TEST_CASE_FIXTURE(PublicationFixture, "publish, two operators from one version, loser learns the winner")
{
    const ConfigurationFold base = inForce();
    CHECK_FALSE(publishAs("anna", base, 1).error);
    const PublicationResult result = publishAs("bertil", base, 2);
    CHECK(result.error == ResultCode::LostRace);
    CHECK(result.winner == "anna");
    CHECK(result.winningId == "anna-1");
}

TEST_CASE_FIXTURE(PublicationFixture, "publish, answer lost after the append took effect, is accepted and appended once")
{
    log.answersToLose = 1;
    const PublicationResult result = publishAs("anna", {}, 1);
    CHECK_FALSE(result.error);
    CHECK(result.version == ConfigurationVersion { 1 });
    CHECK(log.appends == 1);
}

TEST_CASE_FIXTURE(PublicationFixture, "publish, accepted and then replaced before it is read back, is still accepted")
{
    const ConfigurationChange mine { "mine", "anna", ConfigurationVersion::None, smallConfiguration(1) };
    log.append(configurationStream, formatConfigurationChange(mine));
    log.append(configurationStream, formatConfigurationChange({ "other", "bertil", ConfigurationVersion { 1 }, smallConfiguration(2) }));
    const PublicationResult result = publish(service, mine, {}, std::chrono::milliseconds(0), clock);
    CHECK_FALSE(result.error);
    CHECK(result.version == ConfigurationVersion { 1 });
}

TEST_CASE_FIXTURE(PublicationFixture, "publish, log away, says that the outcome is not known")
{
    log.away = true;
    CHECK(publishAs("anna", {}, 1).error == ResultCode::LogUnavailable);
}

TEST_CASE_FIXTURE(PublicationFixture, "readConfiguration, records expired without a checkpoint, needs a fold to go on from")
{
    publishAs("anna", {}, 1);
    const ConfigurationFold held = inForce();
    publishAs("anna", held, 2);
    log.expireUpTo(configurationStream, 1);
    std::error_code error;
    readConfiguration(service, {}, error);
    CHECK(error == ResultCode::CheckpointMissing);
    CHECK(readConfiguration(service, held, error).version == ConfigurationVersion { 2 });
    CHECK_FALSE(error);
}

TEST_CASE_FIXTURE(PublicationFixture, "shortestContent, one account of many changed, is sent as edits")
{
    Configuration large = smallConfiguration(1);
    for (int index = 0; index < 50; ++index) {
        ClientAccount account = large.accounts.front();
        account.id = ClientAccountId("account-" + std::to_string(index));
        large.accounts.push_back(account);
    }
    ConfigurationFold base;
    base.current.configuration = std::make_shared<const Configuration>(large);
    large.accounts.back().rate = { 9 };
    const auto content = shortestContent(base, large);
    REQUIRE(std::holds_alternative<ConfigurationEdits>(content));
    CHECK(applyEdits(*base.current.configuration, std::get<ConfigurationEdits>(content)) == large);
}
