#pragma once

#include "Command.h"

#include <lacewingsail/World.h>

#include <boost/json.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace lacewingsail {

/// \brief How long one host has to answer one request of an operator.
constexpr std::chrono::seconds hostTimeout { 2 };

/// \brief What one host answered.
struct HostAnswer {
    Host host;
    std::error_code error;
    boost::json::value body;
};

/// \returns the listed hosts, or nothing with \p error set.
std::vector<Host> listHosts(const Invocation&, std::error_code& error);

/// \brief Sends one request to a host, with the fleet secret.
HostAnswer askHost(const Invocation&, const Host&, const char* method, const std::string& target, const std::string& body = {});

/// \brief Sends the same request to several hosts at the same time. \returns the answers in the order of \p hosts.
std::vector<HostAnswer> askHosts(const Invocation&, const std::vector<Host>& hosts, const char* method, const std::string& target, const std::string& body = {});

/// \returns the names with ", " between them.
std::string joinNames(const std::vector<std::string>& names);

/// \returns the names of the hosts that did not answer.
std::vector<std::string> silentHosts(const std::vector<HostAnswer>&);

} // namespace lacewingsail
