#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief One option of the command line.
struct OptionDescription {
    const char* name;
    char shortName;
    /// What the option takes, as in "IP:PORT"; null for a flag.
    const char* argument;
    const char* help;
    /// Whether every command takes it.
    bool common;
};

/// \brief The table of all options. To add one, add its row in Options.cpp and name it in the row of its command.
std::span<const OptionDescription> optionDescriptions();

/// \brief How results are printed.
enum class OutputFormat {
    Text,
    Json,
};

/// \brief What the command line says.
class Invocation {
public:
    /// What follows the name of the command.
    std::vector<std::string> arguments;
    Endpoint log;
    Endpoint hostList;
    std::string fleetSecret;
    OutputFormat output = OutputFormat::Text;

    /// \returns whether the option was given.
    bool has(std::string_view option) const { return m_values.contains(option); }

    /// \returns the text of an option, or \p fallback if it was not given.
    std::string option(std::string_view name, std::string_view fallback = {}) const;

    /// \returns the whole number that an option gives, or \p fallback; what is no number is refused beforehand.
    long long number(std::string_view name, long long fallback) const;

    /// \returns the name that changes are signed with.
    std::string author() const { return option("author", "operator"); }

    /// \returns how long a command may wait.
    std::chrono::seconds timeout() const;

    void set(std::string name, std::string value) { m_values[std::move(name)] = std::move(value); }
    const std::map<std::string, std::string, std::less<>>& values() const { return m_values; }

private:
    std::map<std::string, std::string, std::less<>> m_values;
};

/// \brief The command line as read, before its command is looked up.
struct CommandLine {
    std::vector<std::string> words;
    bool help = false;
    Invocation invocation;
};

/// \brief Reads the command line. \returns false after having said what is wrong.
bool parseCommandLine(int argumentCount, const char** arguments, CommandLine&);

} // namespace lacewingsail
