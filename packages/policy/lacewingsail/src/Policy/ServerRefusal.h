#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <optional>
#include <string_view>

namespace lacewingsail {

/// \brief Upper bound of the time for which one refusal takes a backend server out of use at a host.
constexpr std::chrono::seconds maxRefusalPeriod { 60 };

/// \brief Parses the value of Retry-After with which a backend server refused a request: seconds, which may include a fraction.
/// \returns the time for which the server wants no requests from this host, rounded up to milliseconds and at most
/// \ref maxRefusalPeriod; nothing if the value is not such a number, dates included.
std::optional<std::chrono::milliseconds> parseRefusalPeriod(std::string_view value);

} // namespace lacewingsail
