#pragma once

#include <lacewingsail/World.h>

#include <string>
#include <vector>

namespace lacewingsail {

/// \brief What the command line says.
struct Invocation {
    std::vector<std::string> words;
    Endpoint log;
    Endpoint hostList;
    std::string fleetSecret;
    std::string author;
    std::string account;
};

/// \brief Each runs one command, prints its outcome and returns the exit code.
int runValidate(const Invocation&);
int runPublish(const Invocation&);
int runKeys(const Invocation&);
int runStatus(const Invocation&);

/// \brief Exit codes: 0 for success, 2 for a wrong command line, otherwise the hundreds digit of the result code
/// plus ten.
constexpr int exitUsage = 2;
int exitCodeOf(const std::error_code&);

/// \brief Says on the standard error stream what went wrong. \returns the exit code.
int fail(const std::error_code&, const std::string& detail);

/// \brief Reads a whole file. \returns false after having said that it cannot be read.
bool readFile(const std::string& name, std::string& content);

/// \returns the listed hosts; on failure says so and sets \p error.
std::vector<Host> listHosts(const Invocation&, std::error_code& error);

} // namespace lacewingsail
