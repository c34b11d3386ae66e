#pragma once

#include "ConfigurationState.h"
#include "KeyFreshnessTracker.h"
#include "LogKeeper.h"

#include <lacewingsail/Membership.h>
#include <lacewingsail/Observe.h>
#include <lacewingsail/Peers.h>
#include <lacewingsail/World.h>

#include <functional>
#include <memory>

namespace lacewingsail {

/// \brief What a ConfigurationPeers works with. All must outlive it.
struct ConfigurationPeersParts {
    const HostSettings& settings;
    const Clock& clock;
    ConfigurationState& state;
    KeyFreshnessTracker& freshness;
    CheckpointAge& checkpointAge;
    FleetMembership& membership;
    PeerChannels& channels;
    Metrics& metrics;
    /// \returns when the log was last heard; the epoch of the clock if never.
    std::function<MonotonicTime()> logHeardAt;
};

/// \brief Exchanges versions, withdrawn keys and who hears whom with a few other hosts at a time, and pulls a newer
/// configuration from them when the log does not bring it.
class ConfigurationPeers {
public:
    explicit ConfigurationPeers(const ConfigurationPeersParts&);
    ~ConfigurationPeers();

    /// \brief Begins to talk to the other hosts.
    void start();

    /// \returns the service that answers the other hosts; valid as long as this object.
    grpc::Service& service();

    /// \brief Says to other hosts soon that there is something new.
    void spreadNews();

    /// \brief Tells every other host that this one takes a planned stop. Returns at once.
    void announceLeaving();

    /// \returns whether every other host that can be reached has been told.
    bool leavingAnnounced() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
