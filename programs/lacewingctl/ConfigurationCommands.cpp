#include "Command.h"

#include <lacewingsail/ConfigurationSync.h>
#include <lacewingsail/Wire.h>

#include <iostream>

namespace lacewingsail {

namespace {

    constexpr int changeIdBytes = 16;
    constexpr std::chrono::seconds publishPatience { 30 };

    std::optional<Configuration> readConfigurationFile(const Invocation& invocation)
    {
        std::string content;
        if (invocation.words.size() != 2) {
            std::cerr << "lacewingctl: " << invocation.words.front() << " needs one FILE\n";
            return std::nullopt;
        }
        if (!readFile(invocation.words[1], content))
            return std::nullopt;
        Problems problems;
        auto configuration = parseConfiguration(content, problems);
        if (!configuration)
            std::cerr << "lacewingctl: " << invocation.words[1] << " has errors:\n"
                      << text(problems);
        return configuration;
    }

} // namespace

int runValidate(const Invocation& invocation)
{
    if (!readConfigurationFile(invocation))
        return exitCodeOf(ResultCode::InvalidConfiguration);
    std::cout << "valid\n";
    return 0;
}

int runPublish(const Invocation& invocation)
{
    auto configuration = readConfigurationFile(invocation);
    if (!configuration)
        return exitCodeOf(ResultCode::InvalidConfiguration);
    HttpLogService service(invocation.log);
    std::error_code error;
    const ConfigurationFold current = readConfiguration(service, error);
    if (error)
        return fail(error, text(invocation.log));
    const ConfigurationChange change { randomHex(changeIdBytes), invocation.author, current.version, std::move(*configuration) };
    const PublicationResult result = publish(service, change, publishPatience, SystemClock());
    if (result.error)
        return fail(result.error, "version " + std::to_string(number(result.version)) + " by " + result.winner);
    std::cout << "accepted version=" << number(change.replaces) + 1 << '\n';
    return 0;
}

} // namespace lacewingsail
