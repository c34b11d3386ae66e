#include "SnapshotPublisher.h"

namespace lacewingsail {

SnapshotPublisher::SnapshotPublisher(SnapshotCell& cell, std::shared_ptr<const KeyFreshness> keyFreshness)
    : m_cell(cell)
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
    fresh->withdrawn = std::move(withdrawn);
    const bool sameVersion = before->tables && before->tables->version == version;
    if (record.configuration && !sameVersion) {
        fresh->tables = makeConfigurationTables(version, record.configuration);
        fresh->standings = configuredStandings(*record.configuration);
        fresh->loads = carryLoads(*record.configuration, before.get());
    }
    m_cell.publish(std::move(fresh));
}

} // namespace lacewingsail
