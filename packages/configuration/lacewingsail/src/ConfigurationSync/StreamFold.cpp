#include <lacewingsail/ConfigurationSync.h>

#include <cassert>

namespace lacewingsail {

namespace internal {

    // Edits of a version that does not exist yet (None) apply to an empty configuration.
    Configuration editedConfiguration(const ConfigurationFold& fold, const ConfigurationEdits& edits)
    {
        return applyEdits(fold.current.configuration ? *fold.current.configuration : Configuration {}, edits);
    }

    ChangeOutcome toOutcome(FoldOutcome outcome)
    {
        switch (outcome) {
        case FoldOutcome::Accepted:
            return ChangeOutcome::Accepted;
        case FoldOutcome::LostRace:
            return ChangeOutcome::LostRace;
        case FoldOutcome::Repeated:
            return ChangeOutcome::Repeated;
        }
        return ChangeOutcome::Invalid;
    }

} // namespace internal

const char* nameOf(ChangeOutcome outcome)
{
    switch (outcome) {
    case ChangeOutcome::Accepted:
        return "accepted";
    case ChangeOutcome::LostRace:
        return "lost-race";
    case ChangeOutcome::Repeated:
        return "repeated";
    case ChangeOutcome::Invalid:
        return "invalid";
    }
    return "";
}

ChangeOutcome foldChange(ConfigurationFold& fold, ConfigurationChange change, Problems& problems)
{
    const FoldOutcome verdict = predictOutcome(fold, change.id, change.replaces);
    if (verdict != FoldOutcome::Accepted)
        return internal::toOutcome(verdict);
    auto configuration = std::make_shared<Configuration>();
    if (const auto* edits = std::get_if<ConfigurationEdits>(&change.content)) {
        *configuration = internal::editedConfiguration(fold, *edits);
        if (!checkConfiguration(*configuration, problems))
            return ChangeOutcome::Invalid;
    } else {
        *configuration = std::move(std::get<Configuration>(change.content));
    }
    return internal::toOutcome(apply(fold, { std::move(change.id), std::move(change.author), change.replaces, std::move(configuration) }));
}

ConfigurationFold foldOf(ConfigurationCheckpoint checkpoint)
{
    const auto replaced = number(checkpoint.version) == 0 ? 0 : number(checkpoint.version) - 1;
    auto configuration = std::make_shared<const Configuration>(std::move(checkpoint.configuration));
    return { checkpoint.version, { std::move(checkpoint.id), std::move(checkpoint.author), ConfigurationVersion { replaced }, std::move(configuration) }, checkpoint.position };
}

std::string formatCheckpointOf(const ConfigurationFold& fold)
{
    assert(fold.current.configuration);
    return formatConfigurationCheckpoint({ fold.version, fold.position, fold.current.id, fold.current.author, {} }, *fold.current.configuration);
}

} // namespace lacewingsail
