#include "InForce.h"

#include "Hosts.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace lacewingsail {

namespace {

    constexpr std::chrono::milliseconds pauseBetweenLooks { 100 };
    constexpr std::chrono::seconds progressInterval { 1 };

    bool hasInForce(const HostAnswer& answer, ConfigurationVersion version)
    {
        if (answer.error)
            return false;
        const boost::json::object* status = answer.body.if_object();
        const boost::json::value* held = status ? status->if_contains("configuration_version") : nullptr;
        return held && held->is_number() && held->to_number<std::uint64_t>() >= number(version);
    }

    std::vector<std::string> laggingHosts(const std::vector<HostAnswer>& answers, ConfigurationVersion version)
    {
        std::vector<std::string> names;
        for (const HostAnswer& answer : answers) {
            if (!hasInForce(answer, version))
                names.push_back(answer.host.id.value() + (answer.error ? " (does not answer)" : ""));
        }
        return names;
    }

} // namespace

ConfigurationFold askHostsForConfiguration(const Invocation& invocation)
{
    ConfigurationFold best;
    std::error_code listError;
    for (const HostAnswer& answer : askHosts(invocation, listHosts(invocation, listError), "GET", "/configuration")) {
        Problems problems;
        if (answer.error)
            continue;
        if (auto checkpoint = parseConfigurationCheckpoint(boost::json::serialize(answer.body), problems))
            replaceIfNewer(best, foldOf(std::move(*checkpoint)));
    }
    return best;
}

ConfigurationFold readInForce(const Invocation& invocation, LogService& log, std::error_code& error)
{
    const ConfigurationFold fold = readConfiguration(log, {}, error);
    if (error != ResultCode::CheckpointMissing)
        return fold;
    return readConfiguration(log, askHostsForConfiguration(invocation), error);
}

ConfigurationFold readInForceAnywhere(const Invocation& invocation, std::error_code& error)
{
    HttpLogService log(invocation.log);
    const ConfigurationFold fold = readInForce(invocation, log, error);
    if (!error)
        return fold;
    const ConfigurationFold held = askHostsForConfiguration(invocation);
    if (held.current.configuration) {
        std::cerr << "lacewingctl: the log does not answer; going by what the hosts hold\n";
        error.clear();
    }
    return held;
}

std::vector<std::string> waitUntilInForce(const Invocation& invocation, ConfigurationVersion version, std::error_code& error)
{
    const SystemClock clock;
    const MonotonicTime giveUp = clock.now() + invocation.timeout();
    MonotonicTime nextProgress = clock.now() + progressInterval;
    for (;;) {
        const std::vector<Host> hosts = listHosts(invocation, error);
        if (error)
            return {};
        const auto lagging = laggingHosts(askHosts(invocation, hosts, "GET", "/status"), version);
        if (lagging.empty())
            return {};
        if (clock.now() >= giveUp) {
            error = ResultCode::NotInForce;
            return lagging;
        }
        if (clock.now() >= nextProgress) {
            std::cerr << "lacewingctl: waiting for " << lagging.size() << " of " << hosts.size() << " hosts: " << joinNames(lagging) << '\n';
            nextProgress = clock.now() + progressInterval;
        }
        std::this_thread::sleep_for(pauseBetweenLooks);
    }
}

std::optional<Configuration> readConfigurationFile(const Invocation& invocation, Outcome& outcome)
{
    const std::string& name = invocation.arguments.front();
    std::ifstream stream(name);
    if (!stream) {
        outcome = failure(ResultCode::InvalidArgument, "cannot read " + name);
        return std::nullopt;
    }
    std::ostringstream content;
    content << stream.rdbuf();
    Problems problems;
    auto configuration = parseConfiguration(content.str(), problems);
    if (!configuration) {
        outcome = failure(ResultCode::InvalidConfiguration, name + "\n" + text(problems));
        boost::json::array rows;
        for (const Problem& problem : problems)
            rows.emplace_back(boost::json::object { { "path", problem.path }, { "reason", problem.reason } });
        outcome.fields["problems"] = std::move(rows);
    }
    return configuration;
}

} // namespace lacewingsail
