#pragma once

#include <lacewingsail/ConfigurationSync.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/Proxy.h>

#include <mutex>

namespace lacewingsail {

/// \brief Makes the snapshots that requests read, out of what the other parts learn. Every change goes through
/// here, so that one snapshot never mixes parts of two versions.
class SnapshotPublisher {
public:
    /// \param keyFreshness until when the withdrawn keys may be trusted; every snapshot carries it.
    SnapshotPublisher(SnapshotCell&, std::shared_ptr<const KeyFreshness> keyFreshness);

    /// \brief Takes over a configuration and the withdrawn keys.
    void update(const ConfigurationRecord&, ConfigurationVersion, std::shared_ptr<const WithdrawnKeys>);

private:
    SnapshotCell& m_cell;
    std::mutex m_mutex;
};

} // namespace lacewingsail
