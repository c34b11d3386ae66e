#pragma once

#include <lacewingsail/Policy.h>

#include <map>
#include <vector>

namespace lacewingsail {

/// \brief The known hosts of the fleet, and when each was last seen alive by this host or another.
class FleetDirectory {
public:
    struct Entry {
        LiveHost host;
        MonotonicTime lastAliveAt {};
        /// Not among the live hosts until then, since a call to it failed.
        MonotonicTime avoidUntil {};
        bool leaving = false;
    };

    explicit FleetDirectory(LiveHost self)
        : m_self(std::move(self))
    {
    }

    const LiveHost& self() const { return m_self; }

    /// \brief Records that \p host was alive at \p aliveAt; ignored if a later instant is known already.
    void recordAlive(const LiveHost& host, MonotonicTime aliveAt, bool leaving);

    /// \brief Records that a call to a host failed, so that it is avoided for a while.
    void recordCallFailure(const HostId&, MonotonicTime now);

    /// \brief Records that a call to a host or from it succeeded, so that it is no longer avoided.
    void recordCallSuccess(const HostId&);

    /// \brief Removes this host from the live hosts, on a planned shutdown.
    void setLeaving() { m_leaving = true; }
    bool isLeaving() const { return m_leaving; }

    /// \returns the hosts, this one included, that are neither silent nor leaving nor avoided. Allocates.
    std::vector<LiveHost> liveHosts(MonotonicTime now) const;

    /// \returns all known hosts except this one.
    const std::map<HostId, Entry>& entries() const { return m_entries; }

    /// \brief Removes hosts that have been silent for a long time.
    void evictSilentHosts(MonotonicTime now);

private:
    LiveHost m_self;
    bool m_leaving = false;
    std::map<HostId, Entry> m_entries;
};

} // namespace lacewingsail
