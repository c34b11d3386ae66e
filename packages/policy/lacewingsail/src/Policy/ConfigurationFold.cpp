#include <lacewingsail/Policy.h>

#include <cassert>

namespace lacewingsail {

FoldOutcome apply(ConfigurationFold& fold, ConfigurationRecord record)
{
    assert(record.configuration);
    if (!record.id.empty() && record.id == fold.current.id)
        return FoldOutcome::Repeated;
    if (record.replaces != fold.version)
        return FoldOutcome::LostRace;
    fold.version = ConfigurationVersion { number(fold.version) + 1 };
    fold.current = std::move(record);
    return FoldOutcome::Accepted;
}

} // namespace lacewingsail
