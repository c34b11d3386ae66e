#pragma once

#include "ConfigurationState.h"

#include <lacewingsail/Membership.h>
#include <lacewingsail/Peers.h>
#include <lacewingsail/World.h>

#include <memory>

namespace lacewingsail {

/// \brief Exchanges versions and withdrawn keys with the other hosts, and pulls a newer configuration from them.
class ConfigurationPeers {
public:
    ConfigurationPeers(const HostSettings&, ConfigurationState&, const FleetMembership&, PeerChannels&);
    ~ConfigurationPeers();

    /// \returns the service that answers the other hosts; valid as long as this object.
    grpc::Service& service();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
