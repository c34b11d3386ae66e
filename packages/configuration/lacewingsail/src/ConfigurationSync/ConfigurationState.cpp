#include <lacewingsail/ConfigurationSync.h>

#include <lacewingsail/Wire.h>

namespace lacewingsail {

namespace internal {

    std::optional<ConfigurationRecord> parseRecord(std::string_view body, Journal& journal)
    {
        Problems problems;
        auto change = parseConfigurationChange(body, problems);
        if (!change) {
            journal.record(Event("configuration-record-malformed").with("reason", text(problems)));
            return std::nullopt;
        }
        auto configuration = std::make_shared<const Configuration>(std::move(change->configuration));
        return ConfigurationRecord { change->id, change->author, change->replaces, std::move(configuration), std::string(body) };
    }

    const char* nameOf(FoldOutcome outcome)
    {
        switch (outcome) {
        case FoldOutcome::Accepted:
            return "accepted";
        case FoldOutcome::LostRace:
            return "lost-race";
        case FoldOutcome::Repeated:
            return "repeated";
        }
        return "";
    }

} // namespace internal

ConfigurationState::ConfigurationState(Journal& journal)
    : m_journal(journal)
    , m_withdrawn(std::make_shared<const WithdrawnKeys>())
{
}

void ConfigurationState::listen(Listener listener) { m_listener = std::move(listener); }

void ConfigurationState::foldRecord(std::string_view body)
{
    auto record = internal::parseRecord(body, m_journal);
    if (!record)
        return;
    const std::lock_guard lock(m_mutex);
    Event event("configuration-record");
    event.with("id", record->id).with("author", record->author).with("replaces", static_cast<long long>(number(record->replaces)));
    const FoldOutcome outcome = apply(m_fold, std::move(*record));
    m_journal.record(event.with("outcome", internal::nameOf(outcome)).with("version", static_cast<long long>(number(m_fold.version))));
    if (outcome == FoldOutcome::Accepted)
        notify();
}

void ConfigurationState::adopt(ConfigurationVersion version, std::string_view body)
{
    auto record = internal::parseRecord(body, m_journal);
    if (!record)
        return;
    const std::lock_guard lock(m_mutex);
    if (version <= m_fold.version)
        return;
    m_fold = { version, std::move(*record) };
    m_journal.record(Event("configuration-adopted").with("version", static_cast<long long>(number(version))));
    notify();
}

bool ConfigurationState::withdraw(const std::vector<KeyId>& keys)
{
    const std::lock_guard lock(m_mutex);
    auto grown = std::make_shared<WithdrawnKeys>(*m_withdrawn);
    for (const KeyId& key : keys) {
        if (grown->insert(key).second)
            m_journal.record(Event("key-withdrawn").with("key", key));
    }
    if (grown->size() == m_withdrawn->size())
        return false;
    m_withdrawn = std::move(grown);
    notify();
    return true;
}

ConfigurationVersion ConfigurationState::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_fold.version;
}

std::string ConfigurationState::currentRecord() const
{
    const std::lock_guard lock(m_mutex);
    return m_fold.current.text;
}

std::shared_ptr<const WithdrawnKeys> ConfigurationState::withdrawn() const
{
    const std::lock_guard lock(m_mutex);
    return m_withdrawn;
}

void ConfigurationState::notify()
{
    if (m_listener)
        m_listener(m_fold.current, m_fold.version, m_withdrawn);
}

} // namespace lacewingsail
