#include <lacewingsail/ConfigurationSync.h>

#include <lacewingsail/Wire.h>

namespace lacewingsail {

namespace internal {

    constexpr std::size_t mostLatestWithdrawn = 32;

    long long shown(ConfigurationVersion version) { return static_cast<long long>(number(version)); }
    long long shown(LogOffset offset) { return static_cast<long long>(number(offset)); }

    void recordMalformed(Journal& journal, LogOffset offset, const Problems& problems)
    {
        journal.record(Event("configuration-record-malformed").with("offset", shown(offset)).with("reason", text(problems)));
    }

} // namespace internal

ConfigurationState::ConfigurationState(Journal& journal)
    : m_journal(journal)
    , m_withdrawn(std::make_shared<const WithdrawnKeys>())
{
}

void ConfigurationState::listen(Listener listener) { m_listener = std::move(listener); }

LogOffset ConfigurationState::readFrom() const
{
    const std::lock_guard lock(m_mutex);
    return lacewingsail::nextReadOffset(m_reader);
}

bool ConfigurationState::foldPage(LogOffset asked, const LogPage& page)
{
    const std::lock_guard lock(m_mutex);
    const bool gapBefore = m_reader.gapEnd.has_value();
    beginPage(m_reader, asked, page.earliest);
    if (!gapBefore && m_reader.gapEnd)
        m_journal.record(Event("configuration-records-expired").with("read_up_to", internal::shown(m_reader.fold.position)).with("earliest", internal::shown(page.earliest)));
    bool sawCheckpoint = false;
    for (const LogRecord& record : page.records) {
        Problems problems;
        auto parsed = parseConfigurationRecord(record.body, problems);
        if (!parsed) {
            internal::recordMalformed(m_journal, record.offset, problems);
        } else if (auto* checkpoint = std::get_if<ConfigurationCheckpoint>(&*parsed)) {
            sawCheckpoint = sawCheckpoint || checkpoint->position >= page.earliest;
            takeCheckpoint("log", foldOf(std::move(*checkpoint)));
        } else if (isNextRecord(m_reader, record.offset)) {
            foldRecord(record.offset, std::move(std::get<ConfigurationChange>(*parsed)));
        }
    }
    endPage(m_reader, page.next);
    return sawCheckpoint;
}

void ConfigurationState::foldRecord(LogOffset offset, ConfigurationChange change)
{
    Event event("configuration-record");
    event.with("offset", internal::shown(offset)).with("id", change.id).with("author", change.author).with("replaces", internal::shown(change.replaces));
    Problems problems;
    const ChangeOutcome outcome = foldChange(m_reader.fold, std::move(change), problems);
    m_reader.fold.position = next(offset);
    event.with("outcome", nameOf(outcome)).with("version", internal::shown(m_reader.fold.version));
    if (!problems.empty())
        event.with("reason", text(problems));
    m_journal.record(event);
    if (outcome == ChangeOutcome::Accepted)
        notify();
}

bool ConfigurationState::adopt(std::string_view checkpoint)
{
    Problems problems;
    auto parsed = parseConfigurationCheckpoint(checkpoint, problems);
    if (!parsed) {
        m_journal.record(Event("peer-checkpoint-malformed").with("reason", text(problems)));
        return false;
    }
    const std::lock_guard lock(m_mutex);
    return takeCheckpoint("peer", foldOf(std::move(*parsed)));
}

bool ConfigurationState::takeCheckpoint(std::string_view source, ConfigurationFold fold)
{
    const ConfigurationVersion before = m_reader.fold.version;
    if (!adoptFold(m_reader, std::move(fold)))
        return false;
    if (m_reader.fold.version == before)
        return true;
    m_journal.record(Event("configuration-adopted").with("source", source).with("version", internal::shown(m_reader.fold.version)).with("position", internal::shown(m_reader.fold.position)));
    notify();
    return true;
}

bool ConfigurationState::withdraw(const std::vector<KeyId>& keys)
{
    const std::lock_guard lock(m_mutex);
    return addWithdrawn(keys);
}

void ConfigurationState::withdrawLogged(const std::vector<KeyId>& keys)
{
    const std::lock_guard lock(m_mutex);
    addWithdrawn(keys);
    m_logged.insert(keys.begin(), keys.end());
}

std::vector<KeyId> ConfigurationState::withdrawnButNotLogged() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<KeyId> missing;
    if (m_logged.size() == m_withdrawn->size())
        return missing;
    for (const KeyId& key : *m_withdrawn) {
        if (!m_logged.contains(key))
            missing.push_back(key);
    }
    return missing;
}

bool ConfigurationState::addWithdrawn(const std::vector<KeyId>& keys)
{
    std::vector<KeyId> added;
    for (const KeyId& key : keys) {
        if (!m_withdrawn->contains(key))
            added.push_back(key);
    }
    if (added.empty())
        return false;
    auto grown = std::make_shared<WithdrawnKeys>(*m_withdrawn);
    for (const KeyId& key : added) {
        if (!grown->insert(key).second)
            continue;
        m_withdrawnDigest ^= stableHash(key.value());
        m_latestWithdrawn.insert(m_latestWithdrawn.begin(), key);
        m_journal.record(Event("key-withdrawn").with("key", key));
    }
    if (m_latestWithdrawn.size() > internal::mostLatestWithdrawn)
        m_latestWithdrawn.resize(internal::mostLatestWithdrawn);
    m_withdrawn = std::move(grown);
    notify();
    return true;
}

ConfigurationVersion ConfigurationState::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_reader.fold.version;
}

ConfigurationFold ConfigurationState::fold() const
{
    const std::lock_guard lock(m_mutex);
    return m_reader.fold;
}

bool ConfigurationState::behindGap() const
{
    const std::lock_guard lock(m_mutex);
    return m_reader.gapEnd.has_value();
}

std::shared_ptr<const WithdrawnKeys> ConfigurationState::withdrawn() const
{
    const std::lock_guard lock(m_mutex);
    return m_withdrawn;
}

WithdrawalSummary ConfigurationState::withdrawalSummary() const
{
    const std::lock_guard lock(m_mutex);
    return { m_withdrawn->size(), m_withdrawnDigest, m_latestWithdrawn };
}

void ConfigurationState::notify()
{
    if (m_listener)
        m_listener(m_reader.fold.current, m_reader.fold.version, m_withdrawn);
}

} // namespace lacewingsail
