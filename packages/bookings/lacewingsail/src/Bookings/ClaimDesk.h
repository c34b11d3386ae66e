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
class ClaimDesk {
public:
    using Callback = BookingClaims::Callback;

    ClaimDesk(HostId, const BookingLimits&);

    /// \brief Takes a claim in. \param answer called before or at the first tick() after \p deadline.
    void claim(BookingClaim, MonotonicTime deadline, Callback answer, MonotonicTime now);

    /// \brief Takes in how a claimed request ended.
    void finish(BookingOutcome);

    /// \returns what to append next, if an append is due; appended() must be called before the next one.
    std::optional<BookingBatch> nextBatch(MonotonicTime now);

    /// \brief Says how the append of the last batch went. Without an answer it stays in doubt: the batch may be in
    /// the log, or get there yet.
    void appended(bool answered, MonotonicTime now);

    /// \brief Folds a batch that was read from the log, in log order.
    void read(const BookingBatch&, MonotonicTime now);

    /// \brief Says that a read of the log was answered, or that it was not.
    void heard(MonotonicTime now);
    void readFailed() { m_logAway = true; }

    /// \brief Gives up what has passed its deadline, and forgets old keys.
    void tick(MonotonicTime now);

    bool logAway() const { return m_logAway; }
    /// \returns whether a claim waits or something is to be appended.
    bool busy() const { return !m_waiting.empty() || !m_queuedOutcomes.empty() || !m_appending.empty(); }
    const BookingFold& fold() const { return m_fold; }

private:
    struct Waiting {
        BookingClaim claim;
        MonotonicTime giveUpAt;
        Callback answer;
    };
    struct Doubt {
        std::vector<std::string> claims;
        std::vector<BookingOutcome> outcomes;
        MonotonicTime since;
    };

    void decide(const BookingClaim&, ClaimDecision, MonotonicTime now);
    void settleClaims(const std::vector<std::string>& requests, MonotonicTime giveUpAt);

    const HostId m_host;
    const BookingLimits m_limits;
    BookingFold m_fold;
    // True until the log has answered once.
    bool m_logAway = true;
    std::map<std::string, Waiting> m_waiting;
    // Claims given up after their append was begun; they may turn up in the log yet.
    std::map<std::string, MonotonicTime> m_abandoned;
    std::vector<std::string> m_queuedClaims;
    std::vector<BookingOutcome> m_queuedOutcomes;
    std::map<std::string, Doubt> m_doubts;
    std::string m_appending;
    MonotonicTime m_lastAppend {};
};

} // namespace lacewingsail
