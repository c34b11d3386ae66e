#pragma once

#include "LimitLedgers.h"
#include "SlotLeaseManager.h"

#include <lacewingsail/Membership.h>
#include <lacewingsail/Observe.h>
#include <lacewingsail/Peers.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include <memory>
#include <vector>

namespace lacewingsail {

/// \brief What PooledAdmission works with. All must outlive it.
struct PooledAdmissionParts {
    const HostSettings& settings;
    const Clock& clock;
    const FleetMembership& membership;
    PeerChannels& channels;
    Metrics& metrics;
    Journal& journal;
};

/// \brief Holds every client account to its rate and burst across the fleet: this host's limit slots, what it lends
/// and borrows, and the blocks that it draws. Talks to the log and to the other hosts on threads of its own.
class PooledAdmission final : public Admission {
public:
    explicit PooledAdmission(const PooledAdmissionParts&);
    ~PooledAdmission() override;

    void admit(const ClientAccount&, MonotonicTime deadline, Callback) override;

    /// \brief Takes over the limits of all client accounts; to be called before requests see them.
    void configure(const Configuration&);

    /// \brief Begins to give the slots back, for a planned stop.
    void releaseSlots();

    /// \returns whether giving them back has come to its end.
    bool slotReleaseFinished() const;

    /// \returns whether requests can be admitted. \sa SlotLeaseManager::ready
    bool ready() const;

    /// \returns who holds which slot, by the records of the log read so far.
    std::vector<SlotState> slots() const;

    /// \returns the slots that this host may use now.
    HeldSlots held() const;

    /// \returns the id of this run of the host.
    const IncarnationId& incarnation() const;

    /// \returns the service that answers the other hosts; valid as long as this object.
    grpc::Service& service();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
