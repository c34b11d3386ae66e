#pragma once

#include "RecordStore.h"
#include "ServerRegistry.h"

#include <chrono>
#include <functional>
#include <optional>

namespace lacewingsail {

/// \brief Decodes a backend server's registration. \returns nothing if it names no server to use.
using ServerDecoder = std::function<std::optional<RegisteredServer>(const BackendServerId&, const std::string&)>;

/// \brief Whether this host reads the store for others too.
enum class StoreReaderRole {
    /// Reads all the time.
    Primary,
    /// Reads only while nothing is heard from readers.
    Standby,
};

/// \brief Follows the configuration and the registrations in the store and keeps track of how old its knowledge is.
///
/// All calls and callbacks are on the thread of the event loop.
class StoreFollower {
public:
    /// \param onChange called after the configuration or the servers in use changed.
    StoreFollower(RecordStore&, ActiveConfiguration&, ServerRegistry&, ServerDecoder, const Clock&, std::function<void()> onChange);

    /// \brief Begins or continues reading where it is time for it; to be called every \ref tickInterval.
    void tick(StoreReaderRole);

    /// \brief Notes what another host knows, as of the given instants.
    void recordFreshness(MonotonicTime configurationAsOf, MonotonicTime serversAsOf);

    /// \returns as of when this host knows everything that the store has; the epoch if it never did.
    MonotonicTime configurationAsOf() const { return m_configuration.knownAsOf; }
    MonotonicTime serversAsOf() const { return m_servers.knownAsOf; }

    /// \returns whether the store was away a moment ago. A store that refuses this host, while others read it and pass on
    /// what they read, is not away: the servers reach it and renew their registrations.
    StoreHealth storeHealth() const;

    static constexpr std::chrono::milliseconds tickInterval { 100 };

private:
    /// \brief One stream that is followed.
    struct Followed {
        RecordStream stream;
        LogOffset from {};
        bool initialized = false;
        bool reading = false;
        MonotonicTime nextRead {};
        MonotonicTime knownAsOf {};
        int failures = 0;
    };

    bool isDue(const Followed&, StoreReaderRole) const;
    void read(Followed&);
    void handleRead(Followed&, const StoreReadResult&, MonotonicTime askedAt, bool newest);
    bool applyConfiguration(const StoreReadResult&);
    bool applyServers(const StoreReadResult&, bool newest);
    ServerChange decode(const KeyedRecord&) const;
    void advanceAsOf(Followed&, MonotonicTime asOf);
    void recordFailure(Followed&, ResultCode);
    void recordSuccess(Followed&, MonotonicTime asOf);

    RecordStore& m_store;
    ActiveConfiguration& m_active;
    ServerRegistry& m_registry;
    ServerDecoder m_decoder;
    const Clock& m_clock;
    std::function<void()> m_onChange;
    Followed m_configuration { RecordStream::Configuration };
    Followed m_servers { RecordStream::Servers };
    /// When the last time without any knowledge of the store's registrations ended.
    std::optional<MonotonicTime> m_outageEndedAt;
};

} // namespace lacewingsail
