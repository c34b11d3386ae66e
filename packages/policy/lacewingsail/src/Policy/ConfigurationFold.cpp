#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cassert>

namespace lacewingsail {

FoldOutcome predictOutcome(const ConfigurationFold& fold, const std::string& id, ConfigurationVersion replaces)
{
    if (!id.empty() && id == fold.current.id)
        return FoldOutcome::Repeated;
    return replaces == fold.version ? FoldOutcome::Accepted : FoldOutcome::LostRace;
}

FoldOutcome apply(ConfigurationFold& fold, ConfigurationRecord record)
{
    assert(record.configuration);
    const FoldOutcome outcome = predictOutcome(fold, record.id, record.replaces);
    if (outcome != FoldOutcome::Accepted)
        return outcome;
    fold.version = ConfigurationVersion { number(fold.version) + 1 };
    fold.current = std::move(record);
    return outcome;
}

bool replaceIfNewer(ConfigurationFold& fold, ConfigurationFold later)
{
    // A later position with a lower version cannot be a fold of the same stream; adopting it would revert a change.
    if (later.position <= fold.position || later.version < fold.version)
        return false;
    fold = std::move(later);
    return true;
}

LogOffset nextReadOffset(const ConfigurationReader& reader) { return reader.gapEnd ? reader.checkpointSearchOffset : reader.fold.position; }

void beginPage(ConfigurationReader& reader, LogOffset requested, LogOffset earliest)
{
    reader.pageIsContiguous = std::max(requested, earliest) <= reader.fold.position;
    if (earliest <= reader.fold.position)
        return;
    // A checkpoint closes the gap only if no record after its position has expired, so the gap grows as records expire.
    reader.gapEnd = earliest;
    reader.checkpointSearchOffset = std::max(reader.checkpointSearchOffset, earliest);
}

bool isNextRecord(const ConfigurationReader& reader, LogOffset offset) { return !reader.gapEnd && reader.pageIsContiguous && offset >= reader.fold.position; }

bool adoptFold(ConfigurationReader& reader, ConfigurationFold fold)
{
    if (!replaceIfNewer(reader.fold, std::move(fold)))
        return false;
    // A fold that ends inside the gap is valid too, but the records after it can no longer be read.
    if (reader.gapEnd && reader.fold.position >= *reader.gapEnd) {
        reader.gapEnd.reset();
        reader.checkpointSearchOffset = {};
        // Records of the current page were skipped, so it is read again from the new position.
        reader.pageIsContiguous = false;
    }
    return true;
}

void endPage(ConfigurationReader& reader, LogOffset next)
{
    if (reader.gapEnd)
        reader.checkpointSearchOffset = std::max(reader.checkpointSearchOffset, next);
    else if (reader.pageIsContiguous)
        reader.fold.position = std::max(reader.fold.position, next);
}

} // namespace lacewingsail
