#pragma once

#include "SlotFold.h"

#include <lacewingsail/World.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace lacewingsail {

/// \brief Local observation of one slot by a host, in addition to the fold.
struct SlotObservation {
    /// When this host first read the slot's last record.
    MonotonicTime lastRecordReadAt {};
};

/// \brief The user of a lease, loan or block stops one part in this many of its term early, to tolerate clocks that run at
/// slightly different speeds.
constexpr int clockDriftMarginParts = 50;

/// \returns when the user of a slot, loan or block must stop using it, by its own clock.
/// \param requestedAt an instant before the granted request was sent.
constexpr MonotonicTime useDeadline(MonotonicTime requestedAt, Duration term) { return requestedAt + term - term / clockDriftMarginParts; }

/// \returns the first instant at which another host may claim the slot, by its own clock; a free slot may be claimed
/// immediately.
/// \param readSince when the host began to read the stream. A slot without a record in the log may have a holder that
/// renews it in time, so it may be claimed only after the duration of a lease.
MonotonicTime claimableFrom(const SlotState&, const SlotObservation&, bool readFromStart, MonotonicTime readSince, std::chrono::milliseconds leaseDuration);

/// \brief Input of a host's decision about claims and releases.
struct SlotView {
    const SlotFold& fold;
    /// Aligned with the fold's slots.
    std::span<const SlotObservation> observations;
    /// Whether the stream was read from its first record.
    bool readFromStart = false;
    MonotonicTime readSince {};
    std::chrono::milliseconds leaseDuration { 0 };
    HostId self;
    /// Incarnation of this host.
    IncarnationId holder;
    /// All listed hosts that are not leaving, including this one.
    std::span<const HostId> hosts;
};

/// \returns the host that should claim \p slot when it is free, by rendezvous hashing. \p hosts must not be empty.
const HostId& preferredHost(SlotIndex slot, std::span<const HostId> hosts);

/// \returns the slots to claim now: claimable slots whose preferred host is this one, and after a further \p delay also
/// claimable slots that their preferred host has not claimed.
std::vector<SlotBasis> slotsToClaim(const SlotView&, Duration delay, MonotonicTime now);

/// \returns the slots to release to their preferred hosts; only as many as exceed an even share.
std::vector<SlotBasis> slotsToRelease(const SlotView&);

} // namespace lacewingsail
