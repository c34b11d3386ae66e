#include "SnapshotPublisher.h"

namespace lacewingsail {

namespace internal {

    void setStandings(FleetSnapshot& snapshot, FleetStandings standings)
    {
        snapshot.standings = std::move(standings.standings);
        snapshot.warmupShares = std::move(standings.warmupShares);
    }

} // namespace internal

SnapshotPublisher::SnapshotPublisher(SnapshotCell& cell, std::shared_ptr<const KeyFreshness> keyFreshness, StandingDecision decide)
    : m_cell(cell)
    , m_decide(std::move(decide))
{
    auto first = std::make_shared<FleetSnapshot>(*m_cell.current());
    first->keyFreshness = std::move(keyFreshness);
    m_cell.publish(std::move(first));
}

void SnapshotPublisher::update(const ConfigurationRecord& record, ConfigurationVersion version, std::shared_ptr<const WithdrawnKeys> withdrawn)
{
    const std::lock_guard lock(m_mutex);
    const auto before = m_cell.current();
    auto fresh = std::make_shared<FleetSnapshot>(*before);
    fresh->withdrawnKeys = std::move(withdrawn);
    const bool sameVersion = before->tables && before->tables->version == version;
    if (record.configuration && !sameVersion) {
        fresh->tables = makeConfigurationTables(version, record.configuration);
        // Decided in the same step, so that no snapshot has the new servers with the old ejections.
        internal::setStandings(*fresh, m_decide(*record.configuration));
        fresh->loads = carryOverLoads(*record.configuration, before.get());
        fresh->attemptLimits = carryOverAttemptLimits(*record.configuration, before.get());
    }
    m_cell.publish(std::move(fresh));
}

void SnapshotPublisher::updateStandings()
{
    const std::lock_guard lock(m_mutex);
    const auto before = m_cell.current();
    if (!before->tables)
        return;
    FleetStandings standings = m_decide(*before->tables->configuration);
    if (standings.standings == before->standings && standings.warmupShares == before->warmupShares)
        return;
    auto fresh = std::make_shared<FleetSnapshot>(*before);
    internal::setStandings(*fresh, std::move(standings));
    m_cell.publish(std::move(fresh));
}

} // namespace lacewingsail
