#include <lacewingsail/Bookings.h>

#include <lacewingsail/Wire.h>

#include <algorithm>
#include <cassert>

namespace lacewingsail {

namespace internal {

    constexpr int batchIdBytes = 12;
    constexpr std::size_t mostEntriesOfBatch = 200;
    // How long a claim whose append got no answer is looked for in the log.
    constexpr std::chrono::seconds claimSettleTime { 2 };
    // After that an outcome that was not found is appended again; folding it twice is harmless.
    constexpr std::chrono::seconds outcomeSettleTime { 5 };
    constexpr std::size_t mostAbandonedClaims = 20'000;

    template <typename Entry>
    std::vector<Entry> takeFirst(std::vector<Entry>& entries, std::size_t count)
    {
        const auto end = entries.begin() + static_cast<std::ptrdiff_t>(std::min(count, entries.size()));
        std::vector<Entry> taken(std::make_move_iterator(entries.begin()), std::make_move_iterator(end));
        entries.erase(entries.begin(), end);
        return taken;
    }

} // namespace internal

ClaimDesk::ClaimDesk(HostId host, const BookingLimits& limits)
    : m_host(std::move(host))
    , m_limits(limits)
{
}

void ClaimDesk::claim(BookingClaim claim, MonotonicTime deadline, Callback answer, MonotonicTime now)
{
    assert(!claim.key.empty() && !claim.request.empty() && answer);
    if (m_logAway || now >= deadline)
        return answer({ ClaimVerdict::LogUnavailable, {} });
    // A key that is known already is settled by the log all the same, since its owner may just be giving it up.
    if (m_fold.estimatedBytes >= m_limits.tableBytes && !findBooking(m_fold, claim.account, claim.key))
        return answer({ ClaimVerdict::TableFull, {} });
    const std::string request = claim.request.value();
    m_queuedClaims.push_back(request);
    m_waiting.emplace(request, Waiting { std::move(claim), deadline, std::move(answer) });
}

void ClaimDesk::finish(BookingOutcome outcome) { m_queuedOutcomes.push_back(std::move(outcome)); }

std::optional<BookingBatch> ClaimDesk::nextBatch(MonotonicTime now)
{
    std::erase_if(m_queuedClaims, [this](const std::string& request) { return !m_waiting.contains(request); });
    if (!m_appending.empty() || now - m_lastAppend < m_limits.appendInterval || (m_queuedClaims.empty() && m_queuedOutcomes.empty()))
        return std::nullopt;
    BookingBatch batch;
    batch.id = randomHex(internal::batchIdBytes);
    batch.host = m_host;
    batch.outcomes = internal::takeFirst(m_queuedOutcomes, internal::mostEntriesOfBatch);
    const auto requests = internal::takeFirst(m_queuedClaims, internal::mostEntriesOfBatch);
    for (const std::string& request : requests)
        batch.claims.push_back(m_waiting.at(request).claim);
    m_doubts.emplace(batch.id, Doubt { requests, batch.outcomes, now });
    m_appending = batch.id;
    m_lastAppend = now;
    return batch;
}

// An answered append is no more than a hint: what counts is that the batch is read back.
void ClaimDesk::appended(bool answered, MonotonicTime now)
{
    const auto doubt = m_doubts.find(m_appending);
    m_appending.clear();
    if (doubt == m_doubts.end())
        return;
    doubt->second.since = now;
    if (answered)
        return;
    m_logAway = true;
    settleClaims(doubt->second.claims, now + internal::claimSettleTime);
}

void ClaimDesk::settleClaims(const std::vector<std::string>& requests, MonotonicTime giveUpAt)
{
    for (const std::string& request : requests) {
        const auto waiting = m_waiting.find(request);
        if (waiting != m_waiting.end())
            waiting->second.giveUpAt = std::min(waiting->second.giveUpAt, giveUpAt);
    }
}

void ClaimDesk::read(const BookingBatch& batch, MonotonicTime now)
{
    m_doubts.erase(batch.id);
    for (const BookingOutcome& outcome : batch.outcomes)
        apply(m_fold, outcome);
    for (const BookingClaim& claim : batch.claims)
        decide(claim, apply(m_fold, claim, now), now);
}

// Only here, once the claim has been read back behind everything that precedes it, is it decided.
void ClaimDesk::decide(const BookingClaim& claim, ClaimDecision decision, MonotonicTime now)
{
    const auto waiting = m_waiting.find(claim.request.value());
    if (waiting != m_waiting.end() && now < waiting->second.giveUpAt) {
        const Callback answer = std::move(waiting->second.answer);
        m_waiting.erase(waiting);
        return answer(decision);
    }
    const bool own = waiting != m_waiting.end() || m_abandoned.contains(claim.request.value());
    if (own && decision.verdict == ClaimVerdict::Run)
        finish({ claim.account, claim.key, claim.request, BookingResult::NotRun, {} });
    if (waiting != m_waiting.end()) {
        waiting->second.answer({ ClaimVerdict::LogUnavailable, {} });
        m_waiting.erase(waiting);
    }
    m_abandoned.erase(claim.request.value());
}

void ClaimDesk::heard(MonotonicTime now)
{
    m_logAway = false;
    for (auto doubt = m_doubts.begin(); doubt != m_doubts.end();) {
        if (doubt->first == m_appending || now - doubt->second.since < internal::outcomeSettleTime) {
            ++doubt;
            continue;
        }
        for (BookingOutcome& outcome : doubt->second.outcomes)
            finish(std::move(outcome));
        doubt = m_doubts.erase(doubt);
    }
}

void ClaimDesk::tick(MonotonicTime now)
{
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        if (now < waiting->second.giveUpAt) {
            ++waiting;
            continue;
        }
        m_abandoned.emplace(waiting->first, now);
        const Callback answer = std::move(waiting->second.answer);
        waiting = m_waiting.erase(waiting);
        answer({ ClaimVerdict::LogUnavailable, {} });
    }
    // Without its entry a claim that turns up late stays unknown, which is safe.
    if (m_abandoned.size() > internal::mostAbandonedClaims)
        m_abandoned.clear();
    removeExpired(m_fold, now, m_limits.retention);
}

} // namespace lacewingsail
