/// \brief `lacewingctl`: the operators' tool.

#include "Command.h"
#include "ExitCode.h"
#include "Help.h"

#include <iostream>

namespace lacewingsail {

namespace {

    int usageError(const std::string& reason)
    {
        std::cerr << "lacewingctl: " << reason << "; see lacewingctl --help\n";
        return exitUsage;
    }

    bool takesAllOptions(const Command& command, const Invocation& invocation)
    {
        for (const OptionDescription& option : optionDescriptions()) {
            if (invocation.has(option.name) && !takesOption(command, option)) {
                usageError(std::string(command.name) + " takes no --" + option.name);
                return false;
            }
        }
        return true;
    }

    void printJson(const Command& command, Outcome& outcome)
    {
        const bool ours = !outcome.error || outcome.error.category() == resultCategory();
        boost::json::object answer { { "command", command.name }, { "code", outcome.error.value() } };
        answer["name"] = ours ? std::string(entryOf(static_cast<ResultCode>(outcome.error.value())).name) : "system-error";
        if (outcome.error)
            answer["message"] = outcome.error.message();
        if (!outcome.detail.empty())
            answer["detail"] = outcome.detail;
        for (auto& field : outcome.fields)
            answer[field.key()] = std::move(field.value());
        std::cout << boost::json::serialize(answer) << '\n';
    }

    int report(const Command& command, const Invocation& invocation, Outcome outcome)
    {
        if (invocation.output == OutputFormat::Json)
            printJson(command, outcome);
        else
            std::cout << outcome.text;
        if (outcome.error)
            std::cerr << "lacewingctl: " << outcome.error.message() << (outcome.detail.empty() ? "" : ": ") << outcome.detail << '\n';
        return exitCodeOf(outcome.error);
    }

    int run(int argumentCount, const char** arguments)
    {
        CommandLine line;
        if (!parseCommandLine(argumentCount, arguments, line))
            return exitUsage;
        const Command* command = line.words.empty() ? nullptr : findCommand(line.words);
        if (!command && line.help) {
            std::cout << toolHelp();
            return 0;
        }
        if (!command)
            return usageError(line.words.empty() ? "a command is needed" : "unknown command " + line.words.front());
        if (line.help) {
            std::cout << commandHelp(*command);
            return 0;
        }
        line.invocation.arguments.assign(line.words.begin() + static_cast<std::ptrdiff_t>(countWords(command->name)), line.words.end());
        if (line.invocation.arguments.size() != countWords(command->arguments))
            return usageError(std::string(command->name) + " takes " + (command->arguments.empty() ? "no argument" : std::string(command->arguments)));
        if (!takesAllOptions(*command, line.invocation))
            return exitUsage;
        return report(*command, line.invocation, command->run(line.invocation));
    }

} // namespace

} // namespace lacewingsail

int main(int argumentCount, char** arguments) { return lacewingsail::run(argumentCount, const_cast<const char**>(arguments)); }
