#pragma once

#include <lacewingsail/Policy.h>

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief Number of hosts that a host recorded in the store.
struct FleetSize {
    std::size_t hosts = 0;
    /// When it was read from the store; the epoch if it is not known.
    MonotonicTime asOf {};
};

/// \brief Record with which a host registers in the store.
struct HostRecord {
    LiveHost host;
    std::size_t fleetSize = 0;
};

/// \brief Whether a record can be that of a host of the fleet.
bool isValid(const HostRecord&);

/// \brief What a host may grant as a coordinator of a cell of servers.
struct CellAuthority {
    ColdServerSender role = ColdServerSender::FirstCoordinator;
    GrantAuthority authority;
};

/// \brief The known hosts of the fleet, and when each was last seen alive by this host or another.
class FleetDirectory {
public:
    struct Entry {
        LiveHost host;
        MonotonicTime lastAliveAt {};
        /// Start of the host's process; the epoch if it is not known.
        MonotonicTime startedAt {};
        /// End of the last silence; the epoch if there was none.
        MonotonicTime returnedAt {};
        /// Not among the live hosts until then, since a call to it failed.
        MonotonicTime avoidUntil {};
        bool leaving = false;
        /// When the host's earlier process, or the present one that is leaving, had granted its last tokens; the epoch if none did.
        MonotonicTime grantsEndedAt {};
    };

    /// \param startedAt start of this process.
    explicit FleetDirectory(LiveHost self, MonotonicTime startedAt = {})
        : m_self(std::move(self))
        , m_startedAt(startedAt)
    {
    }

    const LiveHost& self() const { return m_self; }
    MonotonicTime startedAt() const { return m_startedAt; }

    /// \brief Records that \p host, whose process started at \p startedAt, was alive at \p aliveAt; ignored if a later instant is
    /// known already.
    void recordAlive(const LiveHost& host, MonotonicTime aliveAt, MonotonicTime startedAt, bool leaving);

    /// \brief Records that a call to a host failed, so that it is avoided for a while.
    void recordCallFailure(const HostId&, MonotonicTime now);

    /// \brief Records that a call to a host or from it succeeded, so that it is no longer avoided.
    void recordCallSuccess(const HostId&);

    /// \brief Records a size of the fleet; ignored if a later one is known. Hosts that all started during a network partition
    /// know only each other, so that a host grants no tokens before it knows what the store says.
    void recordFleetSize(const FleetSize&);
    const FleetSize& recordedFleetSize() const { return m_fleetSize; }
    bool knowsFleetSize() const { return m_fleetSize.asOf != MonotonicTime {}; }

    /// \returns the number of hosts in the fleet, this one and unreachable ones included.
    std::size_t fleetSize(MonotonicTime now) const;

    /// \brief Removes this host from the live hosts, on a planned shutdown.
    void setLeaving() { m_leaving = true; }
    bool isLeaving() const { return m_leaving; }

    /// \returns the hosts, this one included, that are neither silent nor leaving nor avoided. Allocates.
    std::vector<LiveHost> liveHosts(MonotonicTime now) const;

    /// \returns whether a call to the host failed a moment ago.
    bool isAvoided(const HostId&, MonotonicTime now) const;

    /// \returns the hosts, this one included, that may coordinate an account. A failed call does not remove a host: it may still
    /// grant tokens to others. Allocates.
    std::vector<LiveHost> coordinatorCandidates(MonotonicTime now) const;

    /// \returns what this host may grant as the coordinator of \p account; no share if another host is or may be its coordinator.
    GrantAuthority coordinatorAuthority(const ClientAccountId& account, MonotonicTime now) const;

    /// \returns whether this host is the first or second coordinator of a cell of servers in \p zone, and what it may grant as such.
    /// \param cell key by which hosts rank the coordinators of the cell. Allocates.
    CellAuthority cellAuthority(const ZoneId& zone, std::string_view cell, MonotonicTime now) const;

    /// \returns what this host may grant of the part of a limit that needs no coordinator.
    GrantAuthority uncoordinatedAuthority(MonotonicTime now) const;

    /// \returns all known hosts except this one.
    const std::map<HostId, Entry>& entries() const { return m_entries; }

    /// \brief Removes hosts that have been silent for a long time.
    void evictSilentHosts(MonotonicTime now);

private:
    Duration coordinationDelay(MonotonicTime now) const;
    static std::optional<MonotonicTime> grantsEndedAt(const Entry&, Duration delay, MonotonicTime now);
    MonotonicTime earlierGrantsEndedAt(MonotonicTime now) const;
    double reachableShare(MonotonicTime now) const;

    LiveHost m_self;
    MonotonicTime m_startedAt;
    bool m_leaving = false;
    FleetSize m_fleetSize;
    std::map<HostId, Entry> m_entries;
};

} // namespace lacewingsail
