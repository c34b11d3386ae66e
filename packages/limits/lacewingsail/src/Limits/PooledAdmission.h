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

/// \brief Dependencies of PooledAdmission. All must outlive it.
struct PooledAdmissionParts {
    const HostSettings& settings;
    const Clock& clock;
    const FleetMembership& membership;
    PeerChannels& channels;
    Metrics& metrics;
    Journal& journal;
};

/// \brief Enforces every client account's rate and burst across the fleet: holds limit slots, lends and borrows their
/// slices, and draws blocks. Calls the log and the other hosts on its own threads.
class PooledAdmission final : public Admission {
public:
    explicit PooledAdmission(const PooledAdmissionParts&);
    ~PooledAdmission() override;

    void admit(const ClientAccount&, MonotonicTime deadline, Callback) override;

    /// \brief Replaces the limits of all client accounts. Call it before requests use the configuration.
    void configure(const Configuration&);

    /// \brief Starts to release the slots for a planned stop. This host chooses itself as a pooler from then on only
    /// if no other host can be chosen.
    void releaseSlots();

    /// \returns whether the release has ended. \sa SlotLeaseManager::releaseFinished
    bool slotReleaseFinished() const;

    /// \returns whether requests can be admitted. \sa SlotLeaseManager::ready
    bool ready() const;

    /// \returns the holders of all slots according to the log records read so far.
    std::vector<SlotState> slots() const;

    /// \returns the slots that this host may use now.
    HeldSlots held() const;

    /// \returns the id of this incarnation (process run) of the host.
    const IncarnationId& incarnation() const;

    /// \returns the service for calls of other hosts; valid as long as this object.
    grpc::Service& service();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
