#pragma once

#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewingsail {

/// \brief Identity of a host that claims slots, and the terms of its leases.
struct SlotTerms {
    HostId host;
    IncarnationId holder;
    /// Number of slots, used while the stream has no record that sets it.
    std::uint32_t slotCount = 1;
    std::chrono::milliseconds lease { 0 };
    /// How long a slot stays unused before its release, so that all loans of its slice have expired.
    std::chrono::milliseconds loanTerm { 0 };
};

/// \brief One host's claims on limit slots: folds the stream `slots` and determines which record to append next and
/// which slots the host may use. Does no I/O; time is an argument.
class SlotClaims {
public:
    /// \param readStartedAt a time before the first read of the stream.
    SlotClaims(SlotTerms, MonotonicTime readStartedAt);

    /// \brief Sets the offset of the oldest record in the log. Call it before the first applyRecord().
    void setEarliestOffset(std::int64_t earliest) { m_readFrom = earliest; }

    /// \brief Folds one record of the stream. \returns the slots that it changed.
    SlotOutcome applyRecord(const SlotRecord&, std::int64_t offset, MonotonicTime now);

    /// \brief Returns the record to append now, which counts as sent from then on. Call it when the stream has been read
    /// to its end. The response to the append is not needed, since applyRecord() shows whether the record is in the log.
    /// \param hosts all listed hosts that are not leaving, including this one.
    std::optional<SlotRecord> nextRecord(const std::vector<HostId>& hosts, const std::string& recordId, MonotonicTime now);

    /// \brief Starts to release every slot and claims no more.
    void releaseAll(MonotonicTime now);

    /// \returns the slots that may be used, and until when they may be used.
    HeldSlots held(MonotonicTime now) const;

    /// \returns whether this host holds no slot according to the fold.
    bool holdsNoSlots() const { return slotsHeldBy(m_fold, m_terms.holder).empty(); }

    const SlotFold& fold() const { return m_fold; }

private:
    struct Lease {
        /// A time before the record that granted or last extended the lease was sent.
        MonotonicTime requestedAt {};
        /// When this host read the record that began the lease.
        MonotonicTime since {};
        /// Whether the token buckets of the slot started full.
        bool startedFull = false;
    };

    bool isReadFromStart() const { return m_readFrom == 0; }
    MonotonicTime leaseDeadline(const Lease& lease) const { return useDeadline(lease.requestedAt, m_terms.lease); }
    void extendLease(SlotIndex, bool first, MonotonicTime requestedAt, MonotonicTime now);
    void removeExpiredLeases(MonotonicTime now);
    bool awaitsRecord(MonotonicTime now) const;
    bool renewalDue(const std::vector<SlotIndex>& slots, MonotonicTime now) const;
    std::vector<SlotBasis> basesOf(const std::vector<SlotIndex>&) const;
    std::optional<SlotRecord> makeRecord(SlotRecordKind, std::vector<SlotBasis>, const std::string& recordId, MonotonicTime now);
    std::vector<SlotBasis> dueClaims(const std::vector<HostId>& hosts, MonotonicTime now) const;
    std::vector<SlotBasis> dueReleases(const std::vector<HostId>& hosts, MonotonicTime now);
    SlotView viewOf(const SlotFold&, const std::vector<SlotObservation>&, const std::vector<HostId>& hosts) const;

    const SlotTerms m_terms;
    const MonotonicTime m_readStartedAt;
    std::int64_t m_readFrom = 0;
    SlotFold m_fold;
    std::vector<SlotObservation> m_observations;
    std::map<SlotIndex, Lease> m_leases;
    /// Slots that are no longer used and wait for their release, with the time since when.
    std::map<SlotIndex, MonotonicTime> m_retired;
    /// Ids of this host's records that were sent and not read back yet, with a time before the send.
    std::map<std::string, MonotonicTime> m_sent;
    std::string m_lastSent;
    MonotonicTime m_lastSentAt {};
    bool m_leaving = false;
};

} // namespace lacewingsail
