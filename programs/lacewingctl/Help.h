#pragma once

#include "Command.h"

#include <string>

namespace lacewingsail {

/// \returns the help of the whole tool: its commands and the options that all of them take.
std::string toolHelp();

/// \returns the help of one command; docs/lacewingctl.md holds the same text.
std::string commandHelp(const Command&);

/// \returns whether \p command takes the option.
bool takesOption(const Command& command, const OptionDescription&);

} // namespace lacewingsail
