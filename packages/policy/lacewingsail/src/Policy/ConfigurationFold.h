#pragma once

#include <lacewingsail/World.h>

#include <memory>
#include <optional>
#include <string>

namespace lacewingsail {

/// \brief One change of the stream `configuration`: what is to replace the version it names.
struct ConfigurationRecord {
    /// Unique for each attempt to publish; a record read twice is recognised by it.
    std::string id;
    std::string author;
    ConfigurationVersion replaces = ConfigurationVersion::None;
    std::shared_ptr<const Configuration> configuration;
};

/// \brief State of the fold over the stream `configuration`: what all records before a position amount to. Two folds
/// of one stream that have the same position are equal, wherever they were computed.
struct ConfigurationFold {
    ConfigurationVersion version = ConfigurationVersion::None;
    ConfigurationRecord current;
    /// The first record that is not folded yet.
    LogOffset position {};
};

/// \brief What the fold made of one record.
enum class FoldOutcome {
    Accepted,
    /// Names a version that is no longer current: another record came first.
    LostRace,
    /// The record that is current already.
    Repeated,
};

/// \returns what apply() would make of a record with this id and base.
FoldOutcome predictOutcome(const ConfigurationFold&, const std::string& id, ConfigurationVersion replaces);

/// \brief Folds one record, in log order. The first record that names the current version wins.
FoldOutcome apply(ConfigurationFold&, ConfigurationRecord);

/// \brief Moves on to a fold of the same stream that was computed elsewhere.
/// \returns false, and leaves \p fold alone, unless \p later has a higher position and no lower version.
bool replaceIfNewer(ConfigurationFold& fold, ConfigurationFold later);

/// \brief A reader of the stream `configuration` who may find that records it has not read have expired.
/// It then keeps its fold and looks for a checkpoint to go on from.
struct ConfigurationReader {
    ConfigurationFold fold;
    /// The first record that can be read while records after fold.position have expired; otherwise empty.
    std::optional<LogOffset> gapEnd;
    /// How far the search for a checkpoint has come.
    LogOffset checkpointSearchOffset {};
    /// Whether the page at hand begins no later than the fold ends, and none of its records was passed over.
    bool pageIsContiguous = true;
};

/// \returns where to read next.
LogOffset nextReadOffset(const ConfigurationReader&);

/// \brief To be called for every page before its records.
/// \param asked where the page was asked to begin.
/// \param earliest the oldest record that is still kept.
void beginPage(ConfigurationReader&, LogOffset asked, LogOffset earliest);

/// \returns whether the record at \p offset is the fold's next: neither folded before nor out of reach behind a gap.
bool isNextRecord(const ConfigurationReader&, LogOffset offset);

/// \brief Takes the fold that a checkpoint of the log, or a peer, holds. \returns whether it moved the reader on.
bool adoptFold(ConfigurationReader&, ConfigurationFold);

/// \brief To be called for every page after its records. \param next where the page says to read on.
void endPage(ConfigurationReader&, LogOffset next);

} // namespace lacewingsail
