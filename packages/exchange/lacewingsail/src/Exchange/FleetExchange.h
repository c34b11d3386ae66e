#pragma once

#include "FleetDirectory.h"
#include "GatewayCalls.h"
#include "StatsAggregator.h"

#include <lacewingsail/Discovery.h>

#include <functional>
#include <map>
#include <vector>

namespace lacewingsail {

/// \brief What the exchange works on.
struct FleetExchangeParts {
    const Clock& clock;
    FleetDirectory& directory;
    ActiveConfiguration& active;
    ServerRegistry& registry;
    StoreFollower& follower;
    StatsAggregator& stats;
    /// Hosts to ask while no other is known.
    std::vector<Endpoint> seeds;
    /// \returns what this host has with the backend servers now.
    std::function<ServerStatsMap()> localStats;
    /// Called after the configuration or the servers in use changed.
    std::function<void()> onChange;
};

/// \brief The periodic exchange with the relays of the own availability zone and, on relays, with all other relays.
///
/// All calls are on the event loop's thread.
class FleetExchange {
public:
    explicit FleetExchange(FleetExchangeParts);

    void connect(GatewayCalls& calls) { m_calls = &calls; }

    /// \brief Tells the relays what is new here and asks them; to be called every \ref interval.
    void tick();

    /// \brief Answers another host.
    void handleRequest(const protocol::ExchangeRequest&, protocol::ExchangeReply&);

    /// \returns whether this host is the first relay of its availability zone, which reads the store for the others.
    bool isPrimaryRelay() const;

    /// \returns whether this host is one of the relays of its availability zone.
    bool isRelay() const;

    /// \brief Asks a host that another one believes to be silent, unless it was asked a moment ago.
    void probe(const LiveHost&);

    /// \brief Time between two exchanges: two of them and a read of the store fit into the operators' bound of 2 s.
    static constexpr std::chrono::milliseconds interval { 500 };

private:
    /// \brief What another host is known to have.
    struct PeerState {
        ConfigurationVersion configuration = ConfigurationVersion::None;
        LogOffset serversEnd {};
    };

    std::vector<Endpoint> callTargets() const;
    void call(const Endpoint&, bool withHosts);
    void fillUpdate(const PeerState&, protocol::FleetNews&) const;
    void applyUpdate(const protocol::FleetNews&);
    template <typename Message>
    void applyHosts(const Message&);
    template <typename Message>
    void fillHosts(Message&) const;
    bool isStale() const;

    FleetExchangeParts m_parts;
    GatewayCalls* m_calls = nullptr;
    MonotonicTime m_startedAt;
    std::size_t m_ticks = 0;
    std::map<HostId, MonotonicTime> m_probedAt;
    std::map<Endpoint, PeerState> m_peerStates;
};

} // namespace lacewingsail
