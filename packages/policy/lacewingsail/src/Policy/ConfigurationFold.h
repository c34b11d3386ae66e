#pragma once

#include <lacewingsail/World.h>

#include <memory>
#include <optional>
#include <string>

namespace lacewingsail {

/// \brief One record of the stream `configuration`: a new configuration and the version that it replaces.
struct ConfigurationRecord {
    /// Unique per publication attempt; identifies a record that is read twice.
    std::string id;
    std::string author;
    ConfigurationVersion replaces = ConfigurationVersion::None;
    std::shared_ptr<const Configuration> configuration;
};

/// \brief State computed by applying all records of the stream `configuration` before a position. Two folds of one
/// stream with the same position are equal, whichever host computed them.
struct ConfigurationFold {
    ConfigurationVersion version = ConfigurationVersion::None;
    ConfigurationRecord current;
    /// Offset of the first record that is not applied yet.
    LogOffset position {};
};

/// \brief Result of applying one record.
enum class FoldOutcome {
    Accepted,
    /// It replaces a version that is no longer current because another record came first.
    LostRace,
    /// It is already the current record.
    Repeated,
};

/// \returns what apply() would return for a record with this id that replaces this version.
FoldOutcome predictOutcome(const ConfigurationFold&, const std::string& id, ConfigurationVersion replaces);

/// \brief Applies one record, in log order. The first record that replaces the current version wins.
/// Does not advance the fold's position.
FoldOutcome apply(ConfigurationFold&, ConfigurationRecord);

/// \brief Replaces \p fold by a fold of the same stream that was computed elsewhere.
/// \returns false, and leaves \p fold unchanged, unless \p later has a higher position and no lower version.
bool replaceIfNewer(ConfigurationFold& fold, ConfigurationFold later);

/// \brief State of a reader of the stream `configuration`. If records that it has not read have expired, it keeps its
/// fold and searches for a checkpoint to continue from.
struct ConfigurationReader {
    ConfigurationFold fold;
    /// If records after fold.position have expired: the offset of the first record that can still be read.
    std::optional<LogOffset> gapEnd;
    /// Where the search for a checkpoint continues.
    LogOffset checkpointSearchOffset {};
    /// Whether the current page begins no later than the fold ends and none of its records was skipped.
    bool pageIsContiguous = true;
};

/// \returns the offset from which to read next.
LogOffset nextReadOffset(const ConfigurationReader&);

/// \brief Must be called for every page before its records.
/// \param requested the offset from which the page was requested.
/// \param earliest the offset of the oldest record that has not expired.
void beginPage(ConfigurationReader&, LogOffset requested, LogOffset earliest);

/// \returns whether the record at \p offset is the next to apply: neither applied before nor beyond a gap.
bool isNextRecord(const ConfigurationReader&, LogOffset offset);

/// \brief Adopts the fold of a checkpoint in the log or of another host if it is newer. \returns whether it was.
bool adoptFold(ConfigurationReader&, ConfigurationFold);

/// \brief Must be called for every page after its records. \param next the offset after the page.
void endPage(ConfigurationReader&, LogOffset next);

} // namespace lacewingsail
