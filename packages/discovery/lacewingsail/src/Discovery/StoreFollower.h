#pragma once

#include "RecordLog.h"
#include "ServerRegistry.h"

#include <chrono>
#include <functional>
#include <optional>

namespace lacewingsail {

/// \brief Decodes a backend server's registration. \returns nothing if it names no server to use.
using ServerDecoder = std::function<std::optional<RegisteredServer>(const BackendServerId&, const std::string&)>;

/// \brief Whether this host reads the store for others too.
enum class ReadingDuty {
    /// Reads all the time.
    Reader,
    /// Reads only while nothing is heard from readers.
    Listener,
};

/// \brief Follows the configuration and the registrations in the store and keeps track of how old its knowledge is.
///
/// All calls and callbacks are on the thread of the event loop.
class StoreFollower {
public:
    /// \param changed called after the configuration or the servers in use changed.
    StoreFollower(RecordLog&, ActiveConfiguration&, ServerRegistry&, ServerDecoder, const Clock&, std::function<void()> changed);

    /// \brief Begins or continues reading where it is time for it; to be called every \ref tickInterval.
    void tick(ReadingDuty);

    /// \brief Notes what another host knows, as of the given instants.
    void heard(MonotonicTime configurationAsOf, MonotonicTime serversAsOf);

    /// \returns as of when this host knows everything that the store has; the epoch if it never did.
    MonotonicTime configurationAsOf() const { return m_configuration.knownAsOf; }
    MonotonicTime serversAsOf() const { return m_servers.knownAsOf; }

    /// \returns whether the store was away a moment ago. A store that refuses this host, while others read it and pass on
    /// what they read, is not away: the servers reach it and renew their registrations.
    StoreTrust trust() const;

    static constexpr std::chrono::milliseconds tickInterval { 100 };

private:
    /// \brief One stream that is followed.
    struct Followed {
        RecordStream stream;
        LogOffset from {};
        bool begun = false;
        bool reading = false;
        MonotonicTime nextRead {};
        MonotonicTime knownAsOf {};
        int failures = 0;
    };

    bool isDue(const Followed&, ReadingDuty) const;
    void read(Followed&);
    void take(Followed&, const LogReading&, MonotonicTime askedAt, bool newest);
    bool takeConfiguration(const LogReading&);
    bool takeServers(const LogReading&, bool newest);
    ServerChange decode(const KeyedRecord&) const;
    void know(Followed&, MonotonicTime asOf);
    void noteFailure(Followed&, ResultCode);
    void noteSuccess(Followed&, MonotonicTime asOf);

    RecordLog& m_log;
    ActiveConfiguration& m_active;
    ServerRegistry& m_registry;
    ServerDecoder m_decoder;
    const Clock& m_clock;
    std::function<void()> m_changed;
    Followed m_configuration { RecordStream::Configuration };
    Followed m_servers { RecordStream::Servers };
    /// When the last time without any knowledge of the store's registrations ended.
    std::optional<MonotonicTime> m_gapEndedAt;
};

} // namespace lacewingsail
