#include "Command.h"

#include <lacewingsail/ConfigurationSync.h>
#include <lacewingsail/Http.h>
#include <lacewingsail/Wire.h>

#include <algorithm>
#include <iostream>

namespace lacewingsail {

namespace {

    constexpr int secretBytes = 24;
    constexpr int keyIdBytes = 8;
    constexpr int changeIdBytes = 16;
    constexpr int mostRaces = 10;
    constexpr std::chrono::seconds publishPatience { 30 };
    constexpr std::chrono::seconds hostTimeout { 2 };

    std::error_code publishKey(const Invocation& invocation, const Key& key)
    {
        HttpLogService service(invocation.log);
        PublicationResult result;
        // Adding a key does not depend on what else changed, so a lost race is simply run again.
        for (int race = 0; race < mostRaces; ++race) {
            std::error_code error;
            const ConfigurationFold current = readConfiguration(service, error);
            if (error)
                return error;
            if (!current.current.configuration)
                return ResultCode::NoConfiguration;
            ConfigurationChange change { randomHex(changeIdBytes), invocation.author, current.version, *current.current.configuration };
            const auto account = std::ranges::find(change.configuration.accounts, ClientAccountId(invocation.account), &ClientAccount::id);
            if (account == change.configuration.accounts.end())
                return ResultCode::InvalidArgument;
            account->keys.push_back(key);
            result = publish(service, change, publishPatience, SystemClock());
            if (result.error != ResultCode::LostRace)
                break;
        }
        return result.error;
    }

    int issue(const Invocation& invocation)
    {
        if (invocation.account.empty()) {
            std::cerr << "lacewingctl: keys issue needs --account NAME\n";
            return exitUsage;
        }
        const std::string secret = randomHex(secretBytes);
        const Key key { KeyId(randomHex(keyIdBytes)), sha256(secret) };
        if (const auto error = publishKey(invocation, key))
            return fail(error, "account " + invocation.account);
        std::cout << "key=" << key.id.value() << " account=" << invocation.account << " secret=" << secret << '\n';
        return 0;
    }

    // Tells every host it can reach, so that a withdrawal works while the log is away.
    int tellHosts(const Invocation& invocation, const std::string& record)
    {
        std::error_code listError;
        int told = 0;
        for (const Host& host : listHosts(invocation, listError)) {
            std::error_code error;
            HttpClient client(host.operators);
            const HttpRequest request { "POST", "/withdrawals", { { "Authorization", "Bearer " + invocation.fleetSecret } }, record };
            const HttpResponse response = client.send(request, hostTimeout, error);
            if (!error && response.status == 200)
                ++told;
            else
                std::cerr << "lacewingctl: host " << host.id.value() << " was not told\n";
        }
        return told;
    }

    int withdraw(const Invocation& invocation)
    {
        if (invocation.words.size() != 3) {
            std::cerr << "lacewingctl: keys withdraw needs one KEY\n";
            return exitUsage;
        }
        const std::string record = formatKeyWithdrawal({ KeyId(invocation.words[2]), invocation.author });
        const int told = tellHosts(invocation, record);
        std::error_code error;
        HttpLogService(invocation.log).append(withdrawalStream, record, error);
        std::cout << "withdrawn key=" << invocation.words[2] << " hosts_told=" << told << " logged=" << (error ? "unknown" : "yes") << '\n';
        if (error && told == 0)
            return fail(ResultCode::LogUnavailable, "no host was told either");
        return 0;
    }

} // namespace

int runKeys(const Invocation& invocation)
{
    const std::string action = invocation.words.size() > 1 ? invocation.words[1] : "";
    if (action == "issue")
        return issue(invocation);
    if (action == "withdraw")
        return withdraw(invocation);
    std::cerr << "lacewingctl: keys needs issue or withdraw\n";
    return exitUsage;
}

} // namespace lacewingsail
