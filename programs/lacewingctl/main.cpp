/// \brief `lacewingctl`: the operators' tool.

#include "Command.h"

#include <popt.h>

#include <cstdlib>
#include <iostream>

namespace lacewingsail {

namespace {

    constexpr const char* synopsis = "COMMAND [OPTION...]\n"
                                     "\n"
                                     "Commands:\n"
                                     "  validate FILE       check a configuration text\n"
                                     "  publish FILE        publish a configuration text\n"
                                     "  keys issue          issue a key for --account\n"
                                     "  keys withdraw KEY   withdraw a key\n"
                                     "  status              show every listed host";

    struct RawOptions {
        char* log = nullptr;
        char* hostList = nullptr;
        char* author = nullptr;
        char* account = nullptr;
    };

    bool readEndpointOption(const char* name, const char* value, Endpoint& endpoint)
    {
        if (!value || parseEndpoint(value, endpoint))
            return true;
        std::cerr << "lacewingctl: --" << name << " must be an IP number and a port\n";
        return false;
    }

    bool toInvocation(poptContext context, const RawOptions& raw, Invocation& invocation)
    {
        if (const char** words = poptGetArgs(context)) {
            for (; *words; ++words)
                invocation.words.emplace_back(*words);
        }
        if (raw.author)
            invocation.author = raw.author;
        if (raw.account)
            invocation.account = raw.account;
        // The secret comes from the environment, so that it shows in no list of processes.
        if (const char* secret = std::getenv("LACEWINGSAIL_FLEET_SECRET"))
            invocation.fleetSecret = secret;
        return readEndpointOption("log", raw.log, invocation.log) && readEndpointOption("host-list", raw.hostList, invocation.hostList);
    }

    bool parseInvocation(int argumentCount, const char** arguments, Invocation& invocation)
    {
        RawOptions raw;
        const poptOption table[] = {
            { "log", 'l', POPT_ARG_STRING, &raw.log, 0, "address of the platform's log service", "IP:PORT" },
            { "host-list", 'L', POPT_ARG_STRING, &raw.hostList, 0, "address of the platform's list of hosts", "IP:PORT" },
            { "author", 'a', POPT_ARG_STRING, &raw.author, 0, "name to sign changes with", "NAME" },
            { "account", 'A', POPT_ARG_STRING, &raw.account, 0, "client account", "NAME" },
            POPT_AUTOHELP POPT_TABLEEND
        };
        poptContext context = poptGetContext("lacewingctl", argumentCount, arguments, table, 0);
        poptSetOtherOptionHelp(context, synopsis);
        const int result = poptGetNextOpt(context);
        if (result < -1)
            std::cerr << "lacewingctl: " << poptBadOption(context, 0) << ": " << poptStrerror(result) << '\n';
        const bool good = result == -1 && toInvocation(context, raw, invocation);
        if (good && invocation.words.empty())
            poptPrintUsage(context, stderr, 0);
        poptFreeContext(context);
        return good && !invocation.words.empty();
    }

    int run(int argumentCount, const char** arguments)
    {
        Invocation invocation;
        invocation.author = "operator";
        if (!parseInvocation(argumentCount, arguments, invocation))
            return exitUsage;
        const std::string& command = invocation.words.front();
        if (command == "validate")
            return runValidate(invocation);
        if (command == "publish")
            return runPublish(invocation);
        if (command == "keys")
            return runKeys(invocation);
        if (command == "status")
            return runStatus(invocation);
        std::cerr << "lacewingctl: unknown command " << command << '\n';
        return exitUsage;
    }

} // namespace

} // namespace lacewingsail

int main(int argumentCount, char** arguments) { return lacewingsail::run(argumentCount, const_cast<const char**>(arguments)); }
