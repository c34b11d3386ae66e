#pragma once

#include "Options.h"

#include <lacewingsail/World.h>

#include <boost/json.hpp>

#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace lacewingsail {

/// \brief How a command ended, before it is printed as text or as JSON.
struct Outcome {
    std::error_code error;
    /// What went wrong in particular; added to the message of the error.
    std::string detail;
    /// Printed by `--output json`, next to the result code.
    boost::json::object fields;
    /// Printed by `--output text`; ends with a newline unless it is empty.
    std::string text;
};

/// \brief One command of the tool.
struct Command {
    /// One or two words, as in "keys issue".
    std::string_view name;
    /// What may follow, as in "FILE"; as many words as the command takes.
    std::string_view arguments;
    std::string_view help;
    /// Names of the options that it takes besides the common ones, with a space between them.
    std::string_view options;
    Outcome (*run)(const Invocation&);
};

/// \brief The table of all commands. To add one, declare its function below and add its row in Commands.cpp.
std::span<const Command> commands();

Outcome runValidate(const Invocation&);
Outcome runDiff(const Invocation&);
Outcome runPublish(const Invocation&);
Outcome runKeysIssue(const Invocation&);
Outcome runKeysWithdraw(const Invocation&);
Outcome runKeysList(const Invocation&);
Outcome runStatus(const Invocation&);
Outcome runExplain(const Invocation&);
Outcome runWatch(const Invocation&);
Outcome runDrain(const Invocation&);
Outcome runFence(const Invocation&);
Outcome runConfirm(const Invocation&);
Outcome runPin(const Invocation&);

/// \returns the command that the first words name, or null.
const Command* findCommand(const std::vector<std::string>& words);

/// \returns the number of words in \p text.
std::size_t countWords(std::string_view text);

/// \returns an outcome that stands for a failure.
Outcome failure(const std::error_code&, std::string detail);

} // namespace lacewingsail
