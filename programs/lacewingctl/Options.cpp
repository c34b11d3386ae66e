#include "Options.h"

#include <popt.h>

#include <array>
#include <charconv>
#include <cstdlib>
#include <iostream>

namespace lacewingsail {

namespace {

    constexpr std::chrono::seconds defaultTimeout { 30 };
    constexpr std::string_view numberArgument = "N";
    constexpr std::string_view secondsArgument = "SECONDS";
    constexpr std::string_view endpointArgument = "IP:PORT";

    constexpr std::array descriptions {
        OptionDescription { "log", 'l', "IP:PORT", "address of the platform's log service", true },
        OptionDescription { "host-list", 'L', "IP:PORT", "address of the platform's list of hosts", true },
        OptionDescription { "author", 'a', "NAME", "name to sign changes with", true },
        OptionDescription { "output", 'o', "FORMAT", "text (the default) or json", true },
        OptionDescription { "timeout", 't', "SECONDS", "how long to wait for the log and for hosts", true },
        OptionDescription { "help", '?', nullptr, "show the help of the command", true },
        OptionDescription { "account", 'A', "NAME", "client account", false },
        OptionDescription { "replaces", 'r', "N", "version that the file is based on; by default the one in force", false },
        OptionDescription { "no-wait", 'n', nullptr, "do not wait until the change is in force on every host", false },
        OptionDescription { "stopped", 'S', nullptr, "state that the process has ended although its machine is silent", false },
        OptionDescription { "as", 's', "STANDING", "serving (the default) or ejected", false },
        OptionDescription { "for", 'f', "SECONDS", "how long a pin holds; 600 by default", false },
    };

    // What popt writes into: one entry for each description.
    struct RawValue {
        char* text = nullptr;
        int flag = 0;
    };

    std::vector<poptOption> poptTable(std::vector<RawValue>& values)
    {
        std::vector<poptOption> table;
        for (std::size_t index = 0; index < descriptions.size(); ++index) {
            const OptionDescription& each = descriptions[index];
            void* target = each.argument ? static_cast<void*>(&values[index].text) : static_cast<void*>(&values[index].flag);
            table.push_back({ each.name, each.shortName, each.argument ? POPT_ARG_STRING : POPT_ARG_NONE, target, 0, each.help, each.argument });
        }
        table.push_back(POPT_TABLEEND);
        return table;
    }

    bool complain(const OptionDescription& option, const char* reason)
    {
        std::cerr << "lacewingctl: --" << option.name << ' ' << reason << '\n';
        return false;
    }

    bool isWholeNumber(const std::string& value)
    {
        long long number = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
        return error == std::errc {} && end == value.data() + value.size() && number >= 0;
    }

    bool checkValue(const OptionDescription& option, const std::string& value)
    {
        Endpoint ignored;
        if (option.argument == endpointArgument && !parseEndpoint(value, ignored))
            return complain(option, "must be an IP number and a port");
        if ((option.argument == numberArgument || option.argument == secondsArgument) && !isWholeNumber(value))
            return complain(option, "must be a whole number");
        return true;
    }

    bool takeValue(const OptionDescription& option, const RawValue& raw, Invocation& invocation)
    {
        if (!raw.text && raw.flag == 0)
            return true;
        const std::string value = raw.text ? raw.text : "";
        if (option.argument && !checkValue(option, value))
            return false;
        invocation.set(option.name, value);
        return true;
    }

    bool readOutput(Invocation& invocation)
    {
        const std::string format = invocation.option("output", "text");
        if (format != "text" && format != "json") {
            std::cerr << "lacewingctl: --output must be text or json\n";
            return false;
        }
        invocation.output = format == "json" ? OutputFormat::Json : OutputFormat::Text;
        return true;
    }

    bool toInvocation(const std::vector<RawValue>& values, CommandLine& line)
    {
        for (std::size_t index = 0; index < descriptions.size(); ++index) {
            if (!takeValue(descriptions[index], values[index], line.invocation))
                return false;
        }
        line.help = line.invocation.has("help");
        parseEndpoint(line.invocation.option("log"), line.invocation.log);
        parseEndpoint(line.invocation.option("host-list"), line.invocation.hostList);
        // The secret comes from the environment, so that it shows in no list of processes.
        if (const char* secret = std::getenv("LACEWINGSAIL_FLEET_SECRET"))
            line.invocation.fleetSecret = secret;
        return readOutput(line.invocation);
    }

} // namespace

std::span<const OptionDescription> optionDescriptions() { return descriptions; }

std::string Invocation::option(std::string_view name, std::string_view fallback) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? std::string(fallback) : found->second;
}

long long Invocation::number(std::string_view name, long long fallback) const
{
    const std::string value = option(name);
    long long result = fallback;
    std::from_chars(value.data(), value.data() + value.size(), result);
    return result;
}

std::chrono::seconds Invocation::timeout() const { return std::chrono::seconds(number("timeout", defaultTimeout.count())); }

bool parseCommandLine(int argumentCount, const char** arguments, CommandLine& line)
{
    std::vector<RawValue> values(descriptions.size());
    const std::vector<poptOption> table = poptTable(values);
    poptContext context = poptGetContext("lacewingctl", argumentCount, arguments, table.data(), 0);
    const int result = poptGetNextOpt(context);
    if (result < -1)
        std::cerr << "lacewingctl: " << poptBadOption(context, 0) << ": " << poptStrerror(result) << '\n';
    if (const char** words = poptGetArgs(context)) {
        for (; *words; ++words)
            line.words.emplace_back(*words);
    }
    poptFreeContext(context);
    const bool good = result == -1 && toInvocation(values, line);
    for (RawValue& value : values)
        free(value.text); // NOLINT: popt allocates it with malloc
    return good;
}

} // namespace lacewingsail
