#pragma once

#include "BookingBatch.h"

#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief One host's claims and outcomes on one stream of bookings, and its fold of that stream. Does no I/O; time is
/// an argument. Not thread-safe.
class ClaimTracker {
public:
    using Callback = BookingClaims::Callback;

    ClaimTracker(HostId, const BookingLimits&);

    /// \brief Queues a claim. \param callback called once, at the latest in the first tick() after \p deadline.
    void claim(BookingClaim, MonotonicTime deadline, Callback callback, MonotonicTime now);

    /// \brief Queues the outcome of a claimed request.
    void finish(BookingOutcome);

    /// \returns the batch to append, if an append is due. No other is returned until recordAppend() has been called.
    std::optional<BookingBatch> nextBatch(MonotonicTime now);

    /// \brief Records the result of the last append. If the log did not acknowledge it, the batch may be in the log or
    /// arrive there later.
    void recordAppend(bool acknowledged, MonotonicTime now);

    /// \brief Folds a batch that was read from the log. Batches must be applied in log order.
    void applyBatch(const BookingBatch&, MonotonicTime now);

    /// \brief Records that the log answered a read, and queues outcomes again that were not read back in time.
    void recordRead(MonotonicTime now);
    /// \brief Records that a read of the log failed.
    void recordReadFailure() { m_logUnavailable = true; }

    /// \brief Abandons claims that have passed their deadline, and removes expired keys.
    void tick(MonotonicTime now);

    bool logUnavailable() const { return m_logUnavailable; }
    /// \returns whether a claim is pending, an outcome is queued, or an append is in progress.
    bool hasPendingWork() const { return !m_pendingClaims.empty() || !m_queuedOutcomes.empty() || !m_appendingBatchId.empty(); }
    const BookingFold& fold() const { return m_fold; }

private:
    struct PendingClaim {
        BookingClaim claim;
        MonotonicTime expiresAt;
        Callback callback;
    };
    struct UnconfirmedBatch {
        std::vector<std::string> claims;
        std::vector<BookingOutcome> outcomes;
        /// When the append was started or, if it has ended, when it ended.
        MonotonicTime since;
    };

    void decide(const BookingClaim&, ClaimDecision, MonotonicTime now);
    void shortenDeadlines(const std::vector<std::string>& requests, MonotonicTime expiresAt);

    const HostId m_host;
    const BookingLimits m_limits;
    BookingFold m_fold;
    // True until a read succeeds, initially and after a failed read or an append that was not acknowledged.
    bool m_logUnavailable = true;
    std::map<std::string, PendingClaim> m_pendingClaims;
    // Claims that have passed their deadline without a decision, by request, with that time. Their records may still
    // appear in the log.
    std::map<std::string, MonotonicTime> m_abandonedClaims;
    std::vector<std::string> m_queuedClaims;
    std::vector<BookingOutcome> m_queuedOutcomes;
    std::map<std::string, UnconfirmedBatch> m_unconfirmedBatches;
    std::string m_appendingBatchId;
    MonotonicTime m_lastAppendAt {};
};

} // namespace lacewingsail
