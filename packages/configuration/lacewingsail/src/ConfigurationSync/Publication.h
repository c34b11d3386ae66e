#pragma once

#include "StreamFold.h"

#include <lacewingsail/Platform.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/Wire.h>
#include <lacewingsail/World.h>

#include <optional>
#include <string>
#include <system_error>

namespace lacewingsail {

/// \brief Name of the stream that holds the published configurations.
constexpr const char* configurationStream = "configuration";
/// \brief Name of the stream that holds the withdrawals of keys.
constexpr const char* withdrawalStream = "withdrawals";

/// \brief Reads the stream `configuration` to its end.
/// \param start a fold to go on from, such as a host's; a default one stands for the start of the stream.
/// \param error set if the log does not answer, or ResultCode::CheckpointMissing if the records between \p start and
/// the oldest one that is kept have expired and no checkpoint makes up for them.
ConfigurationFold readConfiguration(LogService&, const ConfigurationFold& start, std::error_code& error);

/// \brief Reads the stream `withdrawals` to its end.
WithdrawnKeys readWithdrawals(LogService&, std::error_code& error);

/// \brief How an attempt to publish ended.
struct PublicationResult {
    std::error_code error;
    /// The version in force afterwards; the own one if the attempt was accepted.
    ConfigurationVersion version = ConfigurationVersion::None;
    /// Who published the version that won a lost race, and the id of its change.
    std::string winner;
    std::string winningId;
    /// Why edits do not lead to a valid configuration, or empty.
    Problems problems;
};

/// \brief Appends \p change and reads the log on until its fate is known. An append whose answer is lost is never
/// repeated: the log is read until the record, or a rival, shows up.
/// \param start a fold to read on from, which must not be later than the version that the change replaces.
/// \param patience how long to go on reading while the log gives no answer.
PublicationResult publish(LogService&, const ConfigurationChange& change, const ConfigurationFold& start, std::chrono::milliseconds patience, const Clock&);

/// \returns the change as edits of \p base if these are much shorter than the whole text, otherwise as whole text.
std::variant<Configuration, ConfigurationEdits> shortestContent(const ConfigurationFold& base, Configuration);

} // namespace lacewingsail
