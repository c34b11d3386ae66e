#include "Command.h"
#include "Hosts.h"
#include "InForce.h"

#include <lacewingsail/ConfigurationSync.h>
#include <lacewingsail/Wire.h>

#include <algorithm>
#include <iostream>

namespace lacewingsail {

namespace {

    constexpr int secretBytes = 24;
    constexpr int keyIdBytes = 8;
    constexpr int changeIdBytes = 16;
    constexpr int mostRaces = 10;

    std::optional<ClientAccount> findAccount(const ConfigurationFold& inForce, const std::string& name)
    {
        if (!inForce.current.configuration)
            return std::nullopt;
        const auto& accounts = inForce.current.configuration->accounts;
        const auto found = std::ranges::find(accounts, ClientAccountId(name), &ClientAccount::id);
        return found == accounts.end() ? std::nullopt : std::optional(*found);
    }

    // One attempt: the account with the key in place of the account, whatever else the version in force holds.
    PublicationResult addKeyOnce(const Invocation& invocation, LogService& log, const Key& key)
    {
        PublicationResult result;
        const ConfigurationFold inForce = readInForce(invocation, log, result.error);
        if (result.error)
            return result;
        auto account = findAccount(inForce, invocation.option("account"));
        if (!account) {
            result.error = inForce.current.configuration ? ResultCode::InvalidArgument : ResultCode::NoConfiguration;
            return result;
        }
        const WithdrawnKeys withdrawn = readWithdrawals(log, result.error);
        if (result.error)
            return result;
        std::erase_if(account->keys, [&withdrawn](const Key& each) { return withdrawn.contains(each.id); });
        account->keys.push_back(key);
        ConfigurationEdits edits;
        edits.accounts.upserts.push_back(std::move(*account));
        const ConfigurationChange change { randomHex(changeIdBytes), invocation.author(), inForce.version, std::move(edits) };
        return publish(log, change, inForce, invocation.timeout(), SystemClock());
    }

    // Adding a key does not depend on what else changed, so a lost race is simply run again.
    PublicationResult addKey(const Invocation& invocation, const Key& key)
    {
        HttpLogService log(invocation.log);
        PublicationResult result;
        for (int race = 0; race < mostRaces; ++race) {
            result = addKeyOnce(invocation, log, key);
            if (result.error != ResultCode::LostRace)
                return result;
            std::cerr << "lacewingctl: " << result.winner << " published version " << number(result.version) << " first; trying again\n";
        }
        return result;
    }

    std::string detailOf(const PublicationResult& result, const Invocation& invocation, const Key& key)
    {
        if (result.error == ResultCode::InvalidArgument)
            return "no client account is named " + invocation.option("account");
        if (result.error == ResultCode::LogUnavailable)
            return "if key " + key.id.value() + " turns out to be issued, withdraw it: its secret is lost";
        return "account " + invocation.option("account");
    }

    void noteUnknownKey(const Invocation& invocation, const std::string& key)
    {
        std::error_code error;
        const ConfigurationFold inForce = askHostsForConfiguration(invocation);
        if (!inForce.current.configuration)
            return;
        for (const ClientAccount& account : inForce.current.configuration->accounts) {
            if (std::ranges::find(account.keys, KeyId(key), &Key::id) != account.keys.end())
                return;
        }
        std::cerr << "lacewingctl: note: no client account has a key " << key << " in force; it is withdrawn all the same\n";
    }

    std::error_code judgeWithdrawal(std::size_t told, std::size_t listed, bool logged)
    {
        if (logged || (told > 0 && told * 2 > listed))
            return {};
        return told > 0 ? ResultCode::PartlyWithdrawn : ResultCode::LogUnavailable;
    }

    WithdrawnKeys readWithdrawnAnywhere(const Invocation& invocation)
    {
        HttpLogService log(invocation.log);
        std::error_code error;
        WithdrawnKeys keys = readWithdrawals(log, error);
        for (const HostAnswer& answer : askHosts(invocation, listHosts(invocation, error), "GET", "/withdrawals")) {
            if (answer.error || !answer.body.is_object() || !answer.body.as_object().contains("keys"))
                continue;
            for (const auto& key : answer.body.at("keys").as_array())
                keys.insert(KeyId(std::string(key.as_string())));
        }
        return keys;
    }

} // namespace

Outcome runKeysIssue(const Invocation& invocation)
{
    if (invocation.option("account").empty())
        return failure(ResultCode::InvalidArgument, "keys issue needs --account=NAME");
    const std::string secret = randomHex(secretBytes);
    const Key key { KeyId(randomHex(keyIdBytes)), sha256(secret) };
    const PublicationResult result = addKey(invocation, key);
    if (result.error)
        return failure(result.error, detailOf(result, invocation, key));
    Outcome outcome;
    outcome.fields = { { "key", key.id.value() }, { "account", invocation.option("account") }, { "secret", secret }, { "version", number(result.version) } };
    outcome.text = "key=" + key.id.value() + " account=" + invocation.option("account") + " secret=" + secret + '\n';
    if (!invocation.has("no-wait")) {
        const auto lagging = waitUntilInForce(invocation, result.version, outcome.error);
        outcome.detail = joinNames(lagging);
    }
    return outcome;
}

Outcome runKeysWithdraw(const Invocation& invocation)
{
    const std::string& key = invocation.arguments.front();
    const std::string record = formatKeyWithdrawal({ { KeyId(key) }, invocation.author() });
    std::error_code listError;
    const std::vector<Host> hosts = listHosts(invocation, listError);
    const auto answers = askHosts(invocation, hosts, "POST", "/withdrawals", record);
    const auto silent = silentHosts(answers);
    const std::size_t told = answers.size() - silent.size();
    std::error_code logError;
    HttpLogService(invocation.log).append(withdrawalStream, record, logError);
    Outcome outcome;
    outcome.error = judgeWithdrawal(told, hosts.size(), !logError);
    outcome.fields = { { "key", key }, { "hosts_told", told }, { "hosts_listed", hosts.size() }, { "logged", logError ? "unknown" : "yes" } };
    outcome.text = "withdrawn key=" + key + " hosts_told=" + std::to_string(told) + " logged=" + (logError ? "unknown" : "yes") + '\n';
    if (!silent.empty())
        std::cerr << "lacewingctl: not told, but will hear of it from the log or from other hosts: " << joinNames(silent) << '\n';
    if (logError && told > 0)
        std::cerr << "lacewingctl: the log gave no answer; the hosts that were told write the withdrawal there once it does\n";
    if (outcome.error)
        outcome.detail = "told " + std::to_string(told) + " of " + std::to_string(hosts.size()) + " hosts; run the command again";
    noteUnknownKey(invocation, key);
    return outcome;
}

Outcome runKeysList(const Invocation& invocation)
{
    std::error_code error;
    const ConfigurationFold inForce = readInForceAnywhere(invocation, error);
    if (error)
        return failure(error, text(invocation.log));
    const WithdrawnKeys withdrawn = readWithdrawnAnywhere(invocation);
    Outcome outcome;
    boost::json::array rows;
    const std::vector<ClientAccount> none;
    for (const ClientAccount& account : inForce.current.configuration ? inForce.current.configuration->accounts : none) {
        if (invocation.has("account") && account.id.value() != invocation.option("account"))
            continue;
        for (const Key& key : account.keys) {
            const bool gone = withdrawn.contains(key.id);
            rows.emplace_back(boost::json::object { { "key", key.id.value() }, { "account", account.id.value() }, { "withdrawn", gone } });
            outcome.text += "key=" + key.id.value() + " account=" + account.id.value() + " withdrawn=" + (gone ? "yes" : "no") + '\n';
        }
    }
    outcome.fields["keys"] = std::move(rows);
    return outcome;
}

} // namespace lacewingsail
