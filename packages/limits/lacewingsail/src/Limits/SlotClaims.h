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

/// \brief Who a host is when it claims slots, and on which terms.
struct SlotTerms {
    HostId host;
    IncarnationId holder;
    /// Used if the stream does not say otherwise.
    std::uint32_t slotCount = 1;
    std::chrono::milliseconds lease { 0 };
    /// Time that a slot stays unused before it is released, so that everything lent out of it has lapsed.
    std::chrono::milliseconds loanTerm { 0 };
};

/// \brief What one host knows and does about limit slots: folds the stream `slots` and says what to append next and
/// which slots the host may use. Does no I/O; time is an argument.
class SlotClaims {
public:
    /// \param readStartedAt an instant before the first read of the stream.
    SlotClaims(SlotTerms, MonotonicTime readStartedAt);

    /// \brief Sets the oldest record that the log still keeps; to be called before the first take().
    void setEarliestOffset(std::int64_t earliest) { m_readFrom = earliest; }

    /// \brief Folds one record of the stream. \returns what it changed.
    SlotOutcome applyRecord(const SlotRecord&, std::int64_t offset, MonotonicTime now);

    /// \brief Says what to append now; to be called when the stream has been read to its end. The answer of the
    /// append does not matter: take() learns what became of the record.
    /// \param hosts all listed hosts that are not leaving, the own one included.
    std::optional<SlotRecord> nextRecord(const std::vector<HostId>& hosts, const std::string& recordId, MonotonicTime now);

    /// \brief Begins to give up every slot; no more are claimed.
    void releaseAll(MonotonicTime now);

    /// \returns the slots that may be used, and until when.
    HeldSlots held(MonotonicTime now) const;

    /// \returns whether no slot is held any more, by the fold.
    bool holdsNoSlots() const { return slotsHeldBy(m_fold, m_terms.holder).empty(); }

    const SlotFold& fold() const { return m_fold; }

private:
    struct Lease {
        /// A moment before the record that granted or last extended the lease was sent.
        MonotonicTime requestedAt {};
        MonotonicTime since {};
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
    /// Slots that are no longer used, with the instant from which that is so.
    std::map<SlotIndex, MonotonicTime> m_retired;
    /// Own records that were sent, with a moment before that.
    std::map<std::string, MonotonicTime> m_sent;
    std::string m_lastSent;
    MonotonicTime m_lastSentAt {};
    bool m_leaving = false;
};

} // namespace lacewingsail
