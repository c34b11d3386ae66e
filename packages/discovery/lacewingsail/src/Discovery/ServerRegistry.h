#pragma once

#include <lacewingsail/World.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace lacewingsail {

/// \brief What one record says of a backend server.
struct ServerChange {
    BackendServerId id;
    LogOffset offset {};
    /// Nothing if the record names no server to use: it was dropped or is malformed.
    std::optional<RegisteredServer> server;
    /// How long ago its registration lapsed while the store could not be trusted; nothing if it has not.
    std::optional<Duration> expiredFor;
};

/// \brief Whether registrations that are missing can be believed to be gone.
enum class StoreHealth {
    Healthy,
    /// The store was away a moment ago: living servers may still be on their way back.
    Recovering,
};

/// \brief The backend servers that have registered themselves, as far as this host knows.
///
/// Fed by records of the store and by changes from other hosts, in any order: for each server the record with the
/// highest offset counts. A registration that lapsed while the store was away stays in use until the server had time to
/// renew it.
class ServerRegistry {
public:
    struct Entry {
        RegisteredServer registration;
        /// Offset of the record that last changed it.
        LogOffset changeOffset {};
        MonotonicTime warmupEndsAt {};
        std::optional<MonotonicTime> expiredAt;
    };
    using Entries = std::map<BackendServerId, Entry>;

    const Entries& entries() const { return m_entries; }

    /// \brief All records before it are known.
    LogOffset endOffset() const { return m_endOffset; }

    /// \brief Takes one record in. \returns whether the servers in use changed.
    bool apply(const ServerChange&, StoreHealth, MonotonicTime now);

    /// \brief Takes in the newest records of all servers; those that are not among them are gone.
    bool replace(std::span<const ServerChange> newest, LogOffset end, StoreHealth, MonotonicTime now);

    /// \brief Notes that all records before \p end are known.
    void advanceEndOffset(LogOffset end);

    /// \brief Drops servers whose registration lapsed and was not renewed in time.
    bool removeExpired(MonotonicTime now);

    /// \returns what a host that knows all records before \p from may not know yet, or nothing if that cannot be told
    /// any more, so that it needs everything.
    std::optional<std::vector<ServerChange>> changesSince(LogOffset from, MonotonicTime now) const;

    /// \returns all servers.
    std::vector<ServerChange> allServers(MonotonicTime now) const;

private:
    struct Tombstone {
        LogOffset offset {};
        MonotonicTime removedAt {};
        /// Incarnation and heartbeat that it was last known by.
        std::chrono::milliseconds startedAt { 0 };
        std::uint64_t heartbeat = 0;
    };

    bool isOutdated(const ServerChange&) const;
    bool remove(const BackendServerId&, LogOffset, MonotonicTime now);
    bool markExpired(const BackendServerId&, LogOffset, Duration expiredFor, MonotonicTime now);
    bool upsert(const ServerChange&, MonotonicTime now);
    void pruneTombstones(MonotonicTime now);

    Entries m_entries;
    /// Servers that left, for hosts that have not heard of it.
    std::map<BackendServerId, Tombstone> m_tombstones;
    LogOffset m_endOffset {};
    /// Departures before it are forgotten.
    LogOffset m_prunedBefore {};
};

} // namespace lacewingsail
