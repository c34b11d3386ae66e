#pragma once

#include "Problems.h"

#include <lacewingsail/World.h>

#include <optional>
#include <string>
#include <string_view>

namespace lacewingsail {

/// \brief A record of the stream `configuration`.
struct ConfigurationChange {
    std::string id;
    std::string author;
    ConfigurationVersion replaces = ConfigurationVersion::None;
    Configuration configuration;

    bool operator==(const ConfigurationChange&) const = default;
};

/// \brief A record of the stream `withdrawals`.
struct KeyWithdrawal {
    KeyId key;
    std::string author;

    bool operator==(const KeyWithdrawal&) const = default;
};

std::string formatConfigurationChange(const ConfigurationChange&);
std::string formatKeyWithdrawal(const KeyWithdrawal&);

/// \returns nothing if the record is malformed; the reasons are in \p problems.
std::optional<ConfigurationChange> parseConfigurationChange(std::string_view json, Problems& problems);
std::optional<KeyWithdrawal> parseKeyWithdrawal(std::string_view json, Problems& problems);

} // namespace lacewingsail
