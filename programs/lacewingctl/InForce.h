#pragma once

#include "Command.h"

#include <lacewingsail/ConfigurationSync.h>

#include <functional>
#include <system_error>

namespace lacewingsail {

/// \brief Reads the configuration in force from the log. If expired records are missing, goes on from what a host holds.
ConfigurationFold readInForce(const Invocation&, LogService&, std::error_code& error);

/// \brief The same, but takes a host's word if the log does not answer; for commands that change nothing.
ConfigurationFold readInForceAnywhere(const Invocation&, std::error_code& error);

/// \returns the latest fold that a listed host holds; one without configuration if no host has any.
ConfigurationFold askHostsForConfiguration(const Invocation&);

/// \brief Waits until every listed host has \p version in force, saying on the standard error stream which do not.
/// \returns the names of those that lag in the end.
std::vector<std::string> waitUntilInForce(const Invocation&, ConfigurationVersion version, std::error_code& error);

/// \brief Reads and checks the file that is the command's argument. \returns nothing with \p outcome set.
std::optional<Configuration> readConfigurationFile(const Invocation&, Outcome& outcome);

} // namespace lacewingsail
