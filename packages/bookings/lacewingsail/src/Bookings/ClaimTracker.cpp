#include <lacewingsail/Bookings.h>

#include <lacewingsail/Wire.h>

#include <algorithm>
#include <cassert>

namespace lacewingsail {

namespace internal {

    constexpr int batchIdBytes = 12;
    constexpr std::size_t maxBatchEntries = 200;
    // How long a claim whose append was not acknowledged may still be read back from the log before it is abandoned.
    constexpr std::chrono::seconds claimReadBackTimeout { 2 };
    // An outcome that was not read back within this time is appended again; folding it twice has no effect.
    constexpr std::chrono::seconds outcomeReadBackTimeout { 5 };
    constexpr std::size_t maxAbandonedClaims = 20'000;

    template <typename Entry>
    std::vector<Entry> takeFirst(std::vector<Entry>& entries, std::size_t count)
    {
        const auto end = entries.begin() + static_cast<std::ptrdiff_t>(std::min(count, entries.size()));
        std::vector<Entry> taken(std::make_move_iterator(entries.begin()), std::make_move_iterator(end));
        entries.erase(entries.begin(), end);
        return taken;
    }

} // namespace internal

ClaimTracker::ClaimTracker(HostId host, const BookingLimits& limits)
    : m_host(std::move(host))
    , m_limits(limits)
{
}

void ClaimTracker::claim(BookingClaim claim, MonotonicTime deadline, Callback callback, MonotonicTime now)
{
    assert(!claim.key.empty() && !claim.request.empty() && callback);
    if (m_logUnavailable || now >= deadline)
        return callback({ ClaimVerdict::LogUnavailable, {} });
    // A known key needs no memory. The log decides on it, since the key's current owner may just be releasing it.
    if (m_fold.estimatedBytes >= m_limits.tableBytes && !findBooking(m_fold, claim.account, claim.key))
        return callback({ ClaimVerdict::TableFull, {} });
    const std::string request = claim.request.value();
    m_queuedClaims.push_back(request);
    m_pendingClaims.emplace(request, PendingClaim { std::move(claim), deadline, std::move(callback) });
}

void ClaimTracker::finish(BookingOutcome outcome) { m_queuedOutcomes.push_back(std::move(outcome)); }

std::optional<BookingBatch> ClaimTracker::nextBatch(MonotonicTime now)
{
    std::erase_if(m_queuedClaims, [this](const std::string& request) { return !m_pendingClaims.contains(request); });
    if (!m_appendingBatchId.empty() || now - m_lastAppendAt < m_limits.appendInterval || (m_queuedClaims.empty() && m_queuedOutcomes.empty()))
        return std::nullopt;
    BookingBatch batch;
    batch.id = randomHex(internal::batchIdBytes);
    batch.host = m_host;
    batch.outcomes = internal::takeFirst(m_queuedOutcomes, internal::maxBatchEntries);
    const auto requests = internal::takeFirst(m_queuedClaims, internal::maxBatchEntries);
    for (const std::string& request : requests)
        batch.claims.push_back(m_pendingClaims.at(request).claim);
    m_unconfirmedBatches.emplace(batch.id, UnconfirmedBatch { requests, batch.outcomes, now });
    m_appendingBatchId = batch.id;
    m_lastAppendAt = now;
    return batch;
}

// An acknowledgement alone confirms nothing: a batch is confirmed when it is read back.
void ClaimTracker::recordAppend(bool acknowledged, MonotonicTime now)
{
    const auto unconfirmed = m_unconfirmedBatches.find(m_appendingBatchId);
    m_appendingBatchId.clear();
    if (unconfirmed == m_unconfirmedBatches.end())
        return;
    unconfirmed->second.since = now;
    if (acknowledged)
        return;
    m_logUnavailable = true;
    shortenDeadlines(unconfirmed->second.claims, now + internal::claimReadBackTimeout);
}

void ClaimTracker::shortenDeadlines(const std::vector<std::string>& requests, MonotonicTime expiresAt)
{
    for (const std::string& request : requests) {
        const auto pending = m_pendingClaims.find(request);
        if (pending != m_pendingClaims.end())
            pending->second.expiresAt = std::min(pending->second.expiresAt, expiresAt);
    }
}

void ClaimTracker::applyBatch(const BookingBatch& batch, MonotonicTime now)
{
    m_unconfirmedBatches.erase(batch.id);
    for (const BookingOutcome& outcome : batch.outcomes)
        apply(m_fold, outcome);
    for (const BookingClaim& claim : batch.claims)
        decide(claim, apply(m_fold, claim, now), now);
}

// A claim is decided only when it is read back, after all records that precede it. If a claim of this host owns the key
// but was read back too late, the outcome NotRun frees the key.
void ClaimTracker::decide(const BookingClaim& claim, ClaimDecision decision, MonotonicTime now)
{
    const auto pending = m_pendingClaims.find(claim.request.value());
    if (pending != m_pendingClaims.end() && now < pending->second.expiresAt) {
        const Callback callback = std::move(pending->second.callback);
        m_pendingClaims.erase(pending);
        return callback(decision);
    }
    const bool isLocal = pending != m_pendingClaims.end() || m_abandonedClaims.contains(claim.request.value());
    if (isLocal && decision.verdict == ClaimVerdict::Run)
        finish({ claim.account, claim.key, claim.request, BookingResult::NotRun, {} });
    if (pending != m_pendingClaims.end()) {
        pending->second.callback({ ClaimVerdict::LogUnavailable, {} });
        m_pendingClaims.erase(pending);
    }
    m_abandonedClaims.erase(claim.request.value());
}

void ClaimTracker::recordRead(MonotonicTime now)
{
    m_logUnavailable = false;
    for (auto unconfirmed = m_unconfirmedBatches.begin(); unconfirmed != m_unconfirmedBatches.end();) {
        if (unconfirmed->first == m_appendingBatchId || now - unconfirmed->second.since < internal::outcomeReadBackTimeout) {
            ++unconfirmed;
            continue;
        }
        for (BookingOutcome& outcome : unconfirmed->second.outcomes)
            finish(std::move(outcome));
        unconfirmed = m_unconfirmedBatches.erase(unconfirmed);
    }
}

void ClaimTracker::tick(MonotonicTime now)
{
    for (auto pending = m_pendingClaims.begin(); pending != m_pendingClaims.end();) {
        if (now < pending->second.expiresAt) {
            ++pending;
            continue;
        }
        m_abandonedClaims.emplace(pending->first, now);
        const Callback callback = std::move(pending->second.callback);
        pending = m_pendingClaims.erase(pending);
        callback({ ClaimVerdict::LogUnavailable, {} });
    }
    // If the claim of a removed entry appears in the log later, its outcome stays unknown. That is safe, since its
    // request is never sent.
    if (m_abandonedClaims.size() > internal::maxAbandonedClaims)
        m_abandonedClaims.clear();
    removeExpired(m_fold, now, m_limits.retention);
}

} // namespace lacewingsail
