#pragma once

#include <lacewingsail/Policy.h>
#include <lacewingsail/Wire.h>
#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief What became of a change.
enum class ChangeOutcome {
    Accepted,
    LostRace,
    Repeated,
    /// Its edits do not lead to a valid configuration.
    Invalid,
};

/// \returns the outcome's name in events.
const char* nameOf(ChangeOutcome);

/// \brief Folds a change, applying edits to the version in force. Every reader of the log decides alike.
ChangeOutcome foldChange(ConfigurationFold&, ConfigurationChange, Problems&);

/// \returns the fold that a checkpoint describes.
ConfigurationFold foldOf(ConfigurationCheckpoint);

/// \returns the checkpoint record for a fold with a configuration.
std::string formatCheckpointOf(const ConfigurationFold&);

} // namespace lacewingsail
