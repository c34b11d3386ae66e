#pragma once

#include <lacewingsail/World.h>

#include <memory>
#include <string>

namespace lacewingsail {

/// \brief One record of the stream `configuration`: a whole text that replaces the version it names.
struct ConfigurationRecord {
    /// Unique for each attempt to publish; a record read twice is recognised by it.
    std::string id;
    std::string author;
    ConfigurationVersion replaces = ConfigurationVersion::None;
    std::shared_ptr<const Configuration> configuration;
    /// The published text, kept so that peers can hand it on.
    std::string text;
};

/// \brief State of the fold over the stream `configuration`.
struct ConfigurationFold {
    ConfigurationVersion version = ConfigurationVersion::None;
    ConfigurationRecord current;
};

/// \brief What the fold made of one record.
enum class FoldOutcome {
    Accepted,
    /// Names a version that is no longer current: another record came first.
    LostRace,
    /// The record that is current already.
    Repeated,
};

/// \brief Folds one record, in log order. The first record that names the current version wins.
FoldOutcome apply(ConfigurationFold&, ConfigurationRecord);

} // namespace lacewingsail
