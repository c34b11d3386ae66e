#pragma once

#include "SlotFold.h"

#include <lacewingsail/World.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace lacewingsail {

/// \brief What a host knows of one slot besides the fold.
struct SlotObservation {
    /// When this host first read the slot's last record.
    MonotonicTime lastRecordReadAt {};
};

/// \brief The share of a term by which the side that uses it stops early, so that clocks that run at slightly
/// different speeds do no harm: one part in this many.
constexpr int clockDriftMarginParts = 50;

/// \returns when the one who uses a slot, loan or block must stop, by its own clock.
/// \param askedAt a moment before the request that was granted left.
constexpr MonotonicTime useDeadline(MonotonicTime askedAt, Duration term) { return askedAt + term - term / clockDriftMarginParts; }

/// \returns the first instant at which another host may claim the slot, by its own clock; for a free slot, at once.
/// \param readSince when the host began to read the stream: a slot of which the log keeps no record may have a
/// holder that renews in time, for as long as a lease lasts.
MonotonicTime claimableFrom(const SlotState&, const SlotObservation&, bool readFromStart, MonotonicTime readSince, std::chrono::milliseconds leaseDuration);

/// \brief What one host sees when it decides on claims.
struct SlotView {
    const SlotFold& fold;
    /// Aligned with the fold's slots.
    std::span<const SlotObservation> observations;
    /// Whether the stream was read from its very first record.
    bool readFromStart = false;
    MonotonicTime readSince {};
    std::chrono::milliseconds leaseDuration { 0 };
    HostId self;
    IncarnationId holder;
    /// All listed hosts that are not leaving, the own one included.
    std::span<const HostId> hosts;
};

/// \returns the host that is to take \p slot when it is free, by rendezvous. \p hosts must not be empty.
const HostId& preferredHost(SlotIndex slot, std::span<const HostId> hosts);

/// \returns the slots to claim now: those that may be claimed and prefer this host, and, after \p patience more,
/// those that nobody else took.
std::vector<SlotBasis> slotsToClaim(const SlotView&, Duration patience, MonotonicTime now);

/// \returns the slots to give up since other hosts are to have them: only what is above an even share.
std::vector<SlotBasis> slotsToRelease(const SlotView&);

} // namespace lacewingsail
