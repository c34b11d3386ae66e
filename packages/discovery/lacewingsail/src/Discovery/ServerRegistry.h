#pragma once

#include <lacewingsail/World.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace lacewingsail {

/// \brief A change of one backend server's registration.
struct ServerChange {
    BackendServerId id;
    LogOffset offset {};
    /// Nothing if there is no usable registration: the record was deleted or is malformed.
    std::optional<RegisteredServer> server;
    /// Time since the registration expired during an outage of the store or shortly after; nothing if it has not.
    std::optional<Duration> expiredFor;
};

/// \brief Whether a registration that is missing from the store shows that its server is gone.
enum class StoreHealth {
    Healthy,
    /// The store is unavailable or was so a moment ago: live servers may not have renewed their registrations yet.
    Recovering,
};

/// \brief The registered backend servers, as far as this host knows.
///
/// Changes come from the store and from other hosts, in any order; for each server the change with the highest offset is
/// valid, except heartbeats that reached the store late. A registration that expired during an outage of the store stays in
/// use until the server has had time to renew it.
class ServerRegistry {
public:
    struct Entry {
        RegisteredServer registration;
        /// Offset of the record that last changed the entry.
        LogOffset changeOffset {};
        MonotonicTime warmupEndsAt {};
        std::optional<MonotonicTime> expiredAt;
    };
    using Entries = std::map<BackendServerId, Entry>;

    const Entries& entries() const { return m_entries; }

    /// \returns the offset before which all records have been applied.
    LogOffset endOffset() const { return m_endOffset; }

    /// \brief Applies one change. \returns whether the servers in use changed.
    bool apply(const ServerChange&, StoreHealth, MonotonicTime now);

    /// \brief Applies the latest records of all servers. Servers that are missing from them are gone. \returns whether the
    /// servers in use changed.
    bool replace(std::span<const ServerChange> latest, LogOffset end, StoreHealth, MonotonicTime now);

    /// \brief Records that all records before \p end have been applied.
    void advanceEndOffset(LogOffset end);

    /// \brief Removes servers whose expired registration was not renewed in time. \returns whether there were any.
    bool removeExpired(MonotonicTime now);

    /// \returns the changes that a host which knows all records before \p from may lack, or nothing if they are no longer
    /// known, so that the host needs all servers.
    std::optional<std::vector<ServerChange>> changesSince(LogOffset from, MonotonicTime now) const;

    /// \returns all servers as changes.
    std::vector<ServerChange> allServers(MonotonicTime now) const;

private:
    struct Tombstone {
        LogOffset offset {};
        MonotonicTime removedAt {};
        /// Incarnation and heartbeat of the last known registration.
        std::chrono::milliseconds startedAt { 0 };
        std::uint64_t heartbeat = 0;
    };

    bool isOutdated(const ServerChange&) const;
    bool remove(const BackendServerId&, LogOffset, MonotonicTime now);
    bool markExpired(const BackendServerId&, LogOffset, Duration expiredFor, MonotonicTime now);
    bool upsert(const ServerChange&, MonotonicTime now);
    void pruneTombstones(MonotonicTime now);

    Entries m_entries;
    /// Removed servers, for hosts that do not know of the removal yet.
    std::map<BackendServerId, Tombstone> m_tombstones;
    LogOffset m_endOffset {};
    /// Tombstones before this offset have been pruned.
    LogOffset m_prunedBefore {};
};

} // namespace lacewingsail
