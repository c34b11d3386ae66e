#pragma once

#include "Problems.h"

#include <lacewingsail/World.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lacewingsail {

/// \brief A change of the stream `configuration`.
struct ConfigurationChange {
    std::string id;
    std::string author;
    ConfigurationVersion replaces = ConfigurationVersion::None;
    /// A whole text, or the edits that turn the replaced version into the new one.
    std::variant<Configuration, ConfigurationEdits> content;

    bool operator==(const ConfigurationChange&) const = default;
};

/// \brief A checkpoint of the stream `configuration`: what all records before a position amount to. Hosts that have
/// missed expired records go on from it, and hosts hand the same text to each other.
struct ConfigurationCheckpoint {
    ConfigurationVersion version = ConfigurationVersion::None;
    /// The first record that the checkpoint does not cover.
    LogOffset position {};
    /// The change that made the version, with its whole text.
    std::string id;
    std::string author;
    Configuration configuration;

    bool operator==(const ConfigurationCheckpoint&) const = default;
};

/// \brief A record of the stream `configuration`.
using ConfigurationStreamRecord = std::variant<ConfigurationChange, ConfigurationCheckpoint>;

/// \brief A record of the stream `withdrawals`. It may repeat what is withdrawn already.
struct KeyWithdrawal {
    std::vector<KeyId> keys;
    std::string author;

    bool operator==(const KeyWithdrawal&) const = default;
};

std::string formatConfigurationChange(const ConfigurationChange&);
/// \param configuration takes the place of the checkpoint's own, so that a large one need not be copied.
std::string formatConfigurationCheckpoint(const ConfigurationCheckpoint&, const Configuration& configuration);
std::string formatKeyWithdrawal(const KeyWithdrawal&);

/// \returns nothing if the record is malformed; the reasons are in \p problems.
std::optional<ConfigurationStreamRecord> parseConfigurationRecord(std::string_view json, Problems& problems);
std::optional<ConfigurationChange> parseConfigurationChange(std::string_view json, Problems& problems);
std::optional<ConfigurationCheckpoint> parseConfigurationCheckpoint(std::string_view json, Problems& problems);
std::optional<KeyWithdrawal> parseKeyWithdrawal(std::string_view json, Problems& problems);

} // namespace lacewingsail
