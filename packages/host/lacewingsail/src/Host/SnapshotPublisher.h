#pragma once

#include <lacewingsail/ConfigurationSync.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/Proxy.h>

#include <functional>
#include <mutex>

namespace lacewingsail {

/// \brief Makes the snapshots that requests read, out of what the other parts learn. Every change goes through
/// here, so that one snapshot never mixes parts of two versions.
class SnapshotPublisher {
public:
    using StandingDecision = std::function<FleetStandings(const Configuration&)>;

    /// \param keyFreshness until when the withdrawn keys may be trusted; every snapshot carries it.
    /// \param decide called for every new configuration and every updateStandings(), one call at a time.
    SnapshotPublisher(SnapshotCell&, std::shared_ptr<const KeyFreshness> keyFreshness, StandingDecision decide);

    /// \brief Takes over a configuration and the withdrawn keys.
    void update(const ConfigurationRecord&, ConfigurationVersion, std::shared_ptr<const WithdrawnKeys>);

    /// \brief Decides the standings anew; publishes a snapshot if one of them changed.
    void updateStandings();

private:
    SnapshotCell& m_cell;
    const StandingDecision m_decide;
    std::mutex m_mutex;
};

} // namespace lacewingsail
