#pragma once

#include <lacewingsail/Platform.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/Wire.h>
#include <lacewingsail/World.h>

#include <string>
#include <system_error>

namespace lacewingsail {

/// \brief Name of the stream that holds the published configurations.
constexpr const char* configurationStream = "configuration";
/// \brief Name of the stream that holds the withdrawals of keys.
constexpr const char* withdrawalStream = "withdrawals";

/// \brief Reads the stream `configuration` to its end. \param error set if the log does not answer.
ConfigurationFold readConfiguration(LogService&, std::error_code& error);

/// \brief How an attempt to publish ended.
struct PublicationResult {
    std::error_code error;
    /// The version in force afterwards.
    ConfigurationVersion version = ConfigurationVersion::None;
    /// Who published the version that won a lost race.
    std::string winner;
};

/// \brief Appends \p change and reads the log on until its fate is known. An append whose answer is lost is never
/// repeated: the log is read until the record, or a rival, shows up.
/// \param patience how long to go on reading while the log gives no answer.
PublicationResult publish(LogService&, const ConfigurationChange& change, std::chrono::milliseconds patience, const Clock&);

} // namespace lacewingsail
