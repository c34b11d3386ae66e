#pragma once

#include "DetectionState.h"

#include <lacewingsail/Membership.h>
#include <lacewingsail/Observe.h>
#include <lacewingsail/Peers.h>

#include <memory>

namespace lacewingsail {

/// \brief Exchanges digests of evidence with the other hosts. Says nothing while there is nothing to say.
class EvidencePeers {
public:
    EvidencePeers(const HostSettings&, DetectionState&, const FleetMembership&, PeerChannels&, Metrics&);

    /// \brief Waits for the calls under way.
    ~EvidencePeers();
    EvidencePeers(const EvidencePeers&) = delete;
    EvidencePeers& operator=(const EvidencePeers&) = delete;

    /// \brief Starts one round: tells some of the peers, the next ones in the next round. Does not wait.
    void exchange();

    /// \returns the service that answers the other hosts; valid as long as this object.
    grpc::Service& service();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
