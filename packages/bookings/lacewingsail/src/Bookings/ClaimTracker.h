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

/// \brief One host's claims and outcomes on one stream of bookings, and its fold of that stream. No I/O, no thread;
/// time is an argument. Used from one thread.
class ClaimTracker {
public:
    using Callback = BookingClaims::Callback;

    ClaimTracker(HostId, const BookingLimits&);

    /// \brief Takes a claim in. \param answer called before or at the first tick() after \p deadline.
    void claim(BookingClaim, MonotonicTime deadline, Callback callback, MonotonicTime now);

    /// \brief Takes in how a claimed request ended.
    void finish(BookingOutcome);

    /// \returns what to append next, if an append is due; appended() must be called before the next one.
    std::optional<BookingBatch> nextBatch(MonotonicTime now);

    /// \brief Says how the append of the last batch went. Without an answer it stays in doubt: the batch may be in
    /// the log, or get there yet.
    void recordAppend(bool acknowledged, MonotonicTime now);

    /// \brief Folds a batch that was read from the log, in log order.
    void applyBatch(const BookingBatch&, MonotonicTime now);

    /// \brief Says that a read of the log was answered, or that it was not.
    void recordRead(MonotonicTime now);
    void recordReadFailure() { m_logUnavailable = true; }

    /// \brief Gives up what has passed its deadline, and forgets old keys.
    void tick(MonotonicTime now);

    bool logUnavailable() const { return m_logUnavailable; }
    /// \returns whether a claim waits or something is to be appended.
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
        MonotonicTime since;
    };

    void decide(const BookingClaim&, ClaimDecision, MonotonicTime now);
    void shortenDeadlines(const std::vector<std::string>& requests, MonotonicTime expiresAt);

    const HostId m_host;
    const BookingLimits m_limits;
    BookingFold m_fold;
    // True until the log has answered once.
    bool m_logUnavailable = true;
    std::map<std::string, PendingClaim> m_pendingClaims;
    // Claims given up after their append was begun; they may turn up in the log yet.
    std::map<std::string, MonotonicTime> m_abandonedClaims;
    std::vector<std::string> m_queuedClaims;
    std::vector<BookingOutcome> m_queuedOutcomes;
    std::map<std::string, UnconfirmedBatch> m_unconfirmedBatches;
    std::string m_appendingBatchId;
    MonotonicTime m_lastAppendAt {};
};

} // namespace lacewingsail
