#include "Help.h"

#include <iomanip>
#include <sstream>

namespace lacewingsail {

namespace {

    constexpr int commandColumn = 24;
    constexpr int optionColumn = 26;

    std::string synopsisOf(const Command& command)
    {
        std::string synopsis(command.name);
        if (!command.arguments.empty())
            synopsis += ' ' + std::string(command.arguments);
        return synopsis;
    }

    void writeOption(std::ostream& stream, const OptionDescription& option)
    {
        std::string name = std::string("-") + option.shortName + ", --" + option.name;
        if (option.argument)
            name += std::string("=") + option.argument;
        stream << "  " << std::left << std::setw(optionColumn) << name << option.help << '\n';
    }

} // namespace

bool takesOption(const Command& command, const OptionDescription& option)
{
    if (option.common)
        return true;
    std::istringstream names { std::string(command.options) };
    for (std::string name; names >> name;) {
        if (name == option.name)
            return true;
    }
    return false;
}

std::string toolHelp()
{
    std::ostringstream stream;
    stream << "Usage: lacewingctl COMMAND [OPTION...]\n\nCommands:\n";
    for (const Command& command : commands())
        stream << "  " << std::left << std::setw(commandColumn) << synopsisOf(command) << command.help << '\n';
    stream << "\nOptions of every command:\n";
    for (const OptionDescription& option : optionDescriptions()) {
        if (option.common)
            writeOption(stream, option);
    }
    stream << "\nThe fleet secret is read from the environment variable LACEWINGSAIL_FLEET_SECRET.\n";
    return stream.str();
}

std::string commandHelp(const Command& command)
{
    std::ostringstream stream;
    stream << "Usage: lacewingctl " << synopsisOf(command) << " [OPTION...]\n\n"
           << command.help << "\n\nOptions:\n";
    for (const OptionDescription& option : optionDescriptions()) {
        if (takesOption(command, option))
            writeOption(stream, option);
    }
    return stream.str();
}

} // namespace lacewingsail
