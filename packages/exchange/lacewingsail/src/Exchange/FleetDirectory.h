#pragma once

#include <lacewingsail/Policy.h>

#include <map>
#include <vector>

namespace lacewingsail {

/// \brief The hosts of the fleet that are known, and when each was last heard, by this host or by others.
class FleetDirectory {
public:
    struct Entry {
        LiveHost host;
        MonotonicTime lastAliveAt {};
        /// Not asked until then, since a call to it failed.
        MonotonicTime avoidUntil {};
        bool leaving = false;
    };

    explicit FleetDirectory(LiveHost self)
        : m_self(std::move(self))
    {
    }

    const LiveHost& self() const { return m_self; }

    /// \brief Notes that \p host was alive at \p aliveAt; what is older than already known is ignored.
    void recordAlive(const LiveHost& host, MonotonicTime aliveAt, bool leaving);

    /// \brief Notes that a call to a host failed.
    void recordCallFailure(const HostId&, MonotonicTime now);

    /// \brief Notes that a call to a host succeeded.
    void recordCallSuccess(const HostId&);

    /// \brief Takes this host itself out of the live ones.
    void setLeaving() { m_leaving = true; }
    bool isLeaving() const { return m_leaving; }

    /// \returns the hosts that were heard a moment ago and do not leave, this one included. Allocates.
    std::vector<LiveHost> liveHosts(MonotonicTime now) const;

    /// \returns every known host but this one.
    const std::map<HostId, Entry>& entries() const { return m_entries; }

    /// \brief Forgets hosts that have been silent for long.
    void evictSilentHosts(MonotonicTime now);

private:
    LiveHost m_self;
    bool m_leaving = false;
    std::map<HostId, Entry> m_entries;
};

} // namespace lacewingsail
