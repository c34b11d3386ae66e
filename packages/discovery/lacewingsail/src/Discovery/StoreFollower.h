#pragma once

#include "RecordStore.h"
#include "ServerRegistry.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string_view>

namespace lacewingsail {

/// \brief Decodes a backend server's registration. \returns nothing if it is not a usable registration.
using ServerDecoder = std::function<std::optional<RegisteredServer>(const BackendServerId&, const std::string&)>;

/// \brief Whether this host reads the store for the other hosts of its availability zone.
enum class StoreReaderRole {
    /// Reads continuously.
    Primary,
    /// Reads once at the start, and then only while other hosts send no fresh state.
    Standby,
};

/// \brief Follows the configuration, the evacuated zones and the registrations in the store and tracks how old the known state is.
///
/// All calls and callbacks run on the event loop's thread.
class StoreFollower {
public:
    /// \param onChange called after a change of the configuration or of the servers in use.
    StoreFollower(RecordStore&, ActiveConfiguration&, ServerRegistry&, ServerDecoder, const Clock&, std::function<void()> onChange);

    /// \brief Starts the reads that are due; to be called every \ref tickInterval.
    void tick(StoreReaderRole);

    /// \brief Records that state received from another host has been applied, which is complete as of the given instants; the
    /// epoch stands for none.
    void recordFreshness(MonotonicTime configurationAsOf, MonotonicTime serversAsOf);

    /// \brief Records the era of the store that an answer of the store or another host has told. In a newer era than the one
    /// known, each stream is read in full again, and a missing registration does not show for a while that its server is gone.
    /// \param source the host that told it, or ActiveConfiguration::storeSource; logged.
    void recordEra(StoreEra, std::string_view source);

    /// \returns the newest era known.
    StoreEra era() const { return m_era; }

    /// \brief Records that another host has a newer configuration that it did not send, so that the store is read for it at once.
    void requireConfiguration();

    /// \returns the instant as of which this host knows the whole content of the store; the epoch if it never did.
    MonotonicTime configurationAsOf() const { return m_configuration.knownAsOf; }
    MonotonicTime serversAsOf() const { return m_servers.knownAsOf; }

    /// \returns Recovering during an outage of the store and for a while after it or after a change of era. A store that refuses only this host is
    /// not in an outage: other hosts read it and pass on its records, and the servers renew their registrations.
    StoreHealth storeHealth() const;

    static constexpr std::chrono::milliseconds tickInterval { 100 };

private:
    struct FollowedStream {
        RecordStream stream;
        StorePosition next {};
        bool initialized = false;
        bool readInFlight = false;
        MonotonicTime nextReadAt {};
        MonotonicTime knownAsOf {};
        int failures = 0;
    };

    MonotonicTime lastHeardOf(const FollowedStream&) const;
    bool isDue(const FollowedStream&, StoreReaderRole) const;
    void read(FollowedStream&);
    void handleRead(FollowedStream&, const StoreReadResult&, MonotonicTime requestedAt, bool isSnapshot);
    bool belongsToAnotherEra(FollowedStream&, const StoreReadResult&, bool isSnapshot);
    bool applyConfiguration(const StoreReadResult&);
    bool applyEvacuations(const StoreReadResult&, bool isSnapshot);
    bool applyServers(const StoreReadResult&, bool isSnapshot);
    std::optional<ServerChange> decode(const KeyedRecord&, StoreEra) const;
    void advanceAsOf(FollowedStream&, MonotonicTime asOf);
    void recordFailure(FollowedStream&, ResultCode);
    void recordSuccess(FollowedStream&, MonotonicTime asOf);

    RecordStore& m_store;
    ActiveConfiguration& m_active;
    ServerRegistry& m_registry;
    ServerDecoder m_decoder;
    const Clock& m_clock;
    std::function<void()> m_onChange;
    FollowedStream m_configuration { RecordStream::Configuration };
    FollowedStream m_servers { RecordStream::Servers };
    StoreEra m_era {};
    MonotonicTime m_firstReadAt {};
    /// When the last period without up-to-date registrations ended, or the last change of era was noticed.
    std::optional<MonotonicTime> m_outageEndedAt;
};

} // namespace lacewingsail
