#pragma once

#include "FleetDirectory.h"
#include "HostCalls.h"
#include "StatsAggregator.h"

#include <lacewingsail/Discovery.h>

#include <functional>
#include <map>
#include <vector>

namespace lacewingsail {

/// \brief The objects and functions that the exchange works on.
struct FleetExchangeParts {
    const Clock& clock;
    FleetDirectory& directory;
    ActiveConfiguration& active;
    ServerRegistry& registry;
    StoreFollower& follower;
    StatsAggregator& stats;
    /// Bandwidth of this host's link.
    double linkMegabitsPerSecond = 10;
    /// Hosts to call while no other host is known, and for a while after the start.
    std::vector<Endpoint> seeds;
    /// \returns this host's current statistics of the backend servers.
    std::function<ServerStatsMap()> localStats;
    /// Called after a change of the configuration or of the servers in use.
    std::function<void()> onChange;
};

/// \brief Exchanges state periodically with other hosts, through the relays of the availability zones.
///
/// Each host calls the primary relay of its zone; the primary relay calls the other relays of its zone and the primary relays
/// of the other zones. While a host's state is stale, it calls all relays of its zone, and a relay also calls other zones.
///
/// All calls run on the event loop's thread.
class FleetExchange {
public:
    explicit FleetExchange(FleetExchangeParts);

    void connect(HostCalls& calls) { m_calls = &calls; }

    /// \brief Calls the relays with this host's updates and applies theirs; to be called every \ref interval.
    void tick();

    /// \brief Applies another host's update and replies with this host's.
    void handleRequest(const protocol::ExchangeRequest&, protocol::ExchangeReply&);

    /// \returns whether this host is the first-ranked relay of its availability zone, which reads the store for the others.
    bool isPrimaryRelay() const;

    /// \returns whether this host is one of the relays of its availability zone.
    bool isRelay() const;

    /// \brief Calls a host that another host considers silent, at most once per \ref interval.
    void probe(const LiveHost&);

    /// \brief Time between two exchanges. Two exchanges and a read of the store fit into the operators' bounds of 2 s
    /// (GatewayBounds::configuration and GatewayBounds::drain).
    static constexpr std::chrono::milliseconds interval { 500 };

private:
    /// \brief The state that another host is known to have.
    struct PeerState {
        ConfigurationVersion configuration = ConfigurationVersion::None;
        StorePosition serversEnd {};
    };

    std::vector<Endpoint> callTargets() const;
    void call(const Endpoint&, bool includeHosts);
    void handleReply(const Endpoint&, const protocol::ExchangeReply&);
    void recordFailure(const Endpoint&);
    PeerState peerState(const protocol::FleetNews&) const;
    void fillUpdate(const PeerState&, protocol::FleetNews&);
    void fillConfiguration(protocol::FleetNews&);
    bool applyConfiguration(const protocol::FleetNews&, const std::string& sender);
    void applyUpdate(const protocol::FleetNews&, const std::string& sender);
    bool applyEvacuations(const protocol::FleetNews&, const std::string& sender);
    template <typename Message>
    void applyHosts(const Message&);
    template <typename Message>
    void fillHosts(Message&) const;
    bool isStale() const;

    FleetExchangeParts m_parts;
    HostCalls* m_calls = nullptr;
    MonotonicTime m_startedAt;
    std::size_t m_ticks = 0;
    std::map<HostId, MonotonicTime> m_probedAt;
    /// Unknown for hosts that have not answered, or not since a call to them failed.
    std::map<Endpoint, PeerState> m_peerStates;
    ConfigurationVersion m_compressedVersion = ConfigurationVersion::None;
    std::string m_compressedConfiguration;
    /// Bytes of configurations that may still be sent in this interval.
    std::size_t m_configurationBytesLeft = 0;
};

} // namespace lacewingsail
