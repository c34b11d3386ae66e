#include "Command.h"
#include "Hosts.h"
#include "InForce.h"

#include <lacewingsail/ConfigurationSync.h>
#include <lacewingsail/Wire.h>

#include <iostream>

namespace lacewingsail {

namespace {

    constexpr int changeIdBytes = 16;

    void addChanges(const ConfigurationFold& base, const Configuration& configuration, Outcome& outcome)
    {
        const Configuration before = base.current.configuration ? *base.current.configuration : Configuration {};
        boost::json::array rows;
        for (const std::string& line : describeEdits(before, editsBetween(before, configuration))) {
            rows.emplace_back(line);
            outcome.text += line + '\n';
        }
        outcome.fields["changes"] = std::move(rows);
    }

    std::string describeVersion(const ConfigurationFold& fold)
    {
        if (fold.version == ConfigurationVersion::None)
            return "no version is in force";
        return "version " + std::to_string(number(fold.version)) + " by " + fold.current.author + " is in force";
    }

    // A withdrawn id stays withdrawn, so a text that names it promises what cannot be.
    std::string withdrawnKeysIn(const Configuration& configuration, const WithdrawnKeys& withdrawn)
    {
        std::string names;
        for (const ClientAccount& account : configuration.accounts) {
            for (const Key& key : account.keys) {
                if (withdrawn.contains(key.id))
                    names += (names.empty() ? "" : ", ") + key.id.value() + " of account " + account.id.value();
            }
        }
        return names;
    }

    bool checkBase(const Invocation& invocation, const ConfigurationFold& inForce, Outcome& outcome)
    {
        const auto replaces = invocation.number("replaces", static_cast<long long>(number(inForce.version)));
        if (static_cast<unsigned long long>(replaces) == number(inForce.version))
            return true;
        const bool lost = static_cast<unsigned long long>(replaces) < number(inForce.version);
        outcome = failure(lost ? ResultCode::LostRace : ResultCode::InvalidArgument, "the file is based on version " + std::to_string(replaces) + ", but " + describeVersion(inForce) + "; nothing was published");
        outcome.fields["version"] = number(inForce.version);
        outcome.fields["winner"] = inForce.current.author;
        return false;
    }

    bool checkWithdrawn(LogService& log, const Configuration& configuration, Outcome& outcome)
    {
        std::error_code error;
        const std::string names = withdrawnKeysIn(configuration, readWithdrawals(log, error));
        if (error)
            outcome = failure(error, "");
        else if (!names.empty())
            outcome = failure(ResultCode::InvalidConfiguration, "it names withdrawn keys, whose ids are never used again: " + names);
        return !error && names.empty();
    }

    Outcome lost(const PublicationResult& result)
    {
        Outcome outcome = failure(result.error, "version " + std::to_string(number(result.version)) + " by " + result.winner + " is in force; look at lacewingctl diff and publish again");
        if (result.error == ResultCode::InvalidConfiguration)
            outcome.detail = text(result.problems);
        if (result.error == ResultCode::LogUnavailable)
            outcome.detail = "it is not known whether the change was accepted; lacewingctl status tells once the log answers";
        outcome.fields["version"] = number(result.version);
        outcome.fields["winner"] = result.winner;
        outcome.fields["winning_id"] = result.winningId;
        return outcome;
    }

    void awaitHosts(const Invocation& invocation, ConfigurationVersion version, Outcome& outcome)
    {
        if (invocation.has("no-wait"))
            return;
        const auto lagging = waitUntilInForce(invocation, version, outcome.error);
        if (!outcome.error) {
            outcome.text += "in force on every listed host\n";
            return;
        }
        outcome.detail = "version " + std::to_string(number(version)) + " was accepted" + (lagging.empty() ? "" : "; lagging: " + joinNames(lagging));
        boost::json::array names;
        for (const std::string& name : lagging)
            names.emplace_back(name);
        outcome.fields["lagging"] = std::move(names);
    }

} // namespace

Outcome runValidate(const Invocation& invocation)
{
    Outcome outcome;
    if (readConfigurationFile(invocation, outcome))
        outcome.text = "valid\n";
    return outcome;
}

Outcome runDiff(const Invocation& invocation)
{
    Outcome outcome;
    const auto configuration = readConfigurationFile(invocation, outcome);
    if (!configuration)
        return outcome;
    std::error_code error;
    const ConfigurationFold inForce = readInForceAnywhere(invocation, error);
    if (error)
        return failure(error, text(invocation.log));
    addChanges(inForce, *configuration, outcome);
    outcome.fields["version"] = number(inForce.version);
    outcome.text += describeVersion(inForce) + '\n';
    return outcome;
}

Outcome runPublish(const Invocation& invocation)
{
    Outcome outcome;
    auto configuration = readConfigurationFile(invocation, outcome);
    if (!configuration)
        return outcome;
    HttpLogService log(invocation.log);
    std::error_code error;
    const ConfigurationFold inForce = readInForce(invocation, log, error);
    if (error)
        return failure(error, text(invocation.log) + "; nothing was published");
    if (!checkBase(invocation, inForce, outcome) || !checkWithdrawn(log, *configuration, outcome))
        return outcome;
    addChanges(inForce, *configuration, outcome);
    std::cerr << outcome.text;
    outcome.text.clear();
    const ConfigurationChange change { randomHex(changeIdBytes), invocation.author(), inForce.version, shortestContent(inForce, std::move(*configuration)) };
    const PublicationResult result = publish(log, change, inForce, invocation.timeout(), SystemClock());
    if (result.error)
        return lost(result);
    outcome.fields["version"] = number(result.version);
    outcome.fields["id"] = change.id;
    outcome.text = "accepted version=" + std::to_string(number(result.version)) + '\n';
    awaitHosts(invocation, result.version, outcome);
    return outcome;
}

} // namespace lacewingsail
