#pragma once

#include "Evacuations.h"

#include <lacewingsail/World.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief A change of one backend server's registration.
struct ServerChange {
    BackendServerId id;
    StorePosition position {};
    /// Nothing if there is no usable registration: the record was deleted or is malformed.
    std::optional<RegisteredServer> server;
    /// Time since the registration expired during an outage of the store or shortly after; nothing if it has not.
    std::optional<Duration> expiredFor;
    /// Of a removal: stamp of the last registration known. A copy of the store may show the server as it was up to then.
    RegistrationStamp lastStamp {};
};

/// \brief Whether a registration that is missing from the store shows that its server is gone.
enum class StoreHealth {
    Healthy,
    /// The store is unavailable or was so a moment ago: live servers may not have renewed their registrations yet.
    Recovering,
};

/// \brief The registered backend servers, as far as this host knows.
///
/// Changes come from the store and from other hosts, in any order. Registrations of one server are ordered by their stamps, as
/// heartbeats reach the store late and a store that came back from a copy shows old ones; a removal is ordered among them by
/// its position. After a change of era a removed server returns only with a higher stamp, and changes of an older era add no
/// server. A registration that expired during an outage of the store, or that a copy lacks, stays in use until the server has
/// had time to renew it.
class ServerRegistry {
public:
    struct Entry {
        RegisteredServer registration;
        /// Position of the record that last changed the entry.
        StorePosition changePosition {};
        MonotonicTime warmupEndsAt {};
        std::optional<MonotonicTime> expiredAt;
        /// The server counts as cold until then, whatever its registration says.
        MonotonicTime assumedColdUntil {};
    };
    using Entries = std::map<BackendServerId, Entry>;

    const Entries& entries() const { return m_entries; }

    /// \returns the zones whose servers get no new requests.
    const Evacuations& evacuations() const { return m_evacuations; }

    /// \returns whether the server may get new requests, as far as the records say.
    bool acceptsRequests(const RegisteredServer& server) const { return !server.draining && !m_evacuations.isEvacuated(server.zone); }

    /// \brief Applies a record on a zone's evacuation. The servers of a zone whose evacuation has ended count as cold for a while.
    /// \param source the host that sent it, or ActiveConfiguration::storeSource; logged.
    /// \returns whether the servers in use changed.
    bool apply(const ZoneEvacuation&, std::string_view source, MonotonicTime now);

    /// \brief Records that the servers of a zone are cold at least until \p until, although their registrations may not say so yet.
    void assumeCold(const ZoneId&, MonotonicTime until);

    /// \returns the position before which all records have been applied.
    StorePosition end() const { return m_end; }

    /// \brief Applies one change. \returns whether the servers in use changed.
    bool apply(const ServerChange&, StoreHealth, MonotonicTime now);

    /// \brief Applies the latest records of all servers. Servers that are missing from them are gone. \returns whether the
    /// servers in use changed.
    bool replace(std::span<const ServerChange> latest, StorePosition end, StoreHealth, MonotonicTime now);

    /// \brief Records that all records before \p end have been applied.
    void advanceEnd(StorePosition end);

    /// \brief Removes servers whose expired registration was not renewed in time. With a healthy store that time is over for all
    /// of them. \returns whether there were any.
    bool removeExpired(StoreHealth, MonotonicTime now);

    /// \returns the changes that a host which knows all records before \p from may lack, or nothing if they are no longer
    /// known, so that the host needs all servers.
    std::optional<std::vector<ServerChange>> changesSince(StorePosition from, MonotonicTime now) const;

    /// \returns all servers and known removals as changes.
    std::vector<ServerChange> allServers(MonotonicTime now) const;

private:
    struct Tombstone {
        StorePosition position {};
        MonotonicTime removedAt {};
        /// Of the last known registration.
        RegistrationStamp lastStamp;
    };

    bool isOutdated(const ServerChange&) const;
    bool applyRemoval(const ServerChange&, StoreHealth, MonotonicTime now);
    bool recordRemoval(const ServerChange&, MonotonicTime now);
    bool remove(const ServerChange&, MonotonicTime now);
    bool markExpired(const BackendServerId&, StorePosition, Duration expiredFor, MonotonicTime now);
    bool upsert(const ServerChange&, MonotonicTime now);
    void pruneTombstones(MonotonicTime now);

    Entries m_entries;
    Evacuations m_evacuations;
    /// Removed servers, for hosts that do not know of the removal yet.
    std::map<BackendServerId, Tombstone> m_tombstones;
    StorePosition m_end {};
    /// Tombstones before this position have been pruned.
    StorePosition m_prunedBefore {};
};

} // namespace lacewingsail
