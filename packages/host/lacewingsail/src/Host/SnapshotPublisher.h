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
    explicit SnapshotPublisher(SnapshotCell&);

    /// \brief Takes over a configuration and the withdrawn keys.
    void update(const ConfigurationRecord&, ConfigurationVersion, std::shared_ptr<const WithdrawnKeys>);

    /// \brief Sets whether the host can learn of withdrawals.
    void setKeysStale(bool stale);

private:
    SnapshotCell& m_cell;
    std::mutex m_mutex;
};

} // namespace lacewingsail
