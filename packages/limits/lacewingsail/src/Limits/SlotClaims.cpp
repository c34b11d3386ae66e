#include <lacewingsail/Limits.h>

#include <algorithm>
#include <cassert>

namespace lacewingsail {

namespace internal {

    /// A lease is renewed after 1/renewalParts of its duration.
    constexpr int renewalParts = 3;
    /// How long a host waits to read its last record back before it sends another.
    constexpr std::chrono::seconds recordTimeout { 3 };
    /// How long a slot stays free before a host other than the preferred one claims it.
    constexpr std::chrono::seconds claimDelay { 2 };
    constexpr std::size_t maxSentRecords = 256;

} // namespace internal

SlotClaims::SlotClaims(SlotTerms terms, MonotonicTime readStartedAt)
    : m_terms(std::move(terms))
    , m_readStartedAt(readStartedAt)
{
    assert(!m_terms.holder.empty());
    assert(m_terms.slotCount > 0 && m_terms.lease.count() > 0);
}

SlotOutcome SlotClaims::applyRecord(const SlotRecord& record, std::int64_t offset, MonotonicTime now)
{
    SlotOutcome outcome = apply(m_fold, record, offset);
    m_observations.resize(m_fold.slots.size());
    const auto sent = m_sent.find(record.id);
    const bool sentHere = sent != m_sent.end() && record.holder == m_terms.holder;
    for (const SlotIndex slot : outcome.changed) {
        m_observations[number(slot)].lastRecordReadAt = now;
        if (m_fold.slots[number(slot)].holder != m_terms.holder) {
            m_leases.erase(slot);
            m_retired.erase(slot);
        } else if (sentHere) {
            const bool first = record.kind == SlotRecordKind::Claim && std::ranges::find(outcome.firstHeld, slot) != outcome.firstHeld.end();
            extendLease(slot, first && isReadFromStart(), sent->second, now);
        }
    }
    if (sentHere)
        m_sent.erase(sent);
    return outcome;
}

void SlotClaims::extendLease(SlotIndex slot, bool first, MonotonicTime requestedAt, MonotonicTime now)
{
    removeExpiredLeases(now);
    const auto known = m_leases.find(slot);
    // The buckets of a slot that was taken over, or whose lease had expired, start empty, since its burst may just have
    // been spent. Only a slot that was never held starts full, which is known only if the stream was read from its
    // start.
    if (known == m_leases.end())
        m_leases.emplace(slot, Lease { requestedAt, now, first });
    else
        known->second.requestedAt = std::max(known->second.requestedAt, requestedAt);
    if (m_leaving)
        m_retired.emplace(slot, now);
}

void SlotClaims::removeExpiredLeases(MonotonicTime now)
{
    std::erase_if(m_leases, [&](const auto& entry) { return now >= leaseDeadline(entry.second); });
}

HeldSlots SlotClaims::held(MonotonicTime now) const
{
    HeldSlots result;
    result.slotCount = static_cast<std::uint32_t>(m_fold.slots.size());
    result.expiresAt = MonotonicTime::max();
    for (const auto& [slot, lease] : m_leases) {
        if (now >= leaseDeadline(lease) || m_retired.contains(slot))
            continue;
        result.slots.push_back({ slot, lease.startedFull, lease.since });
        result.expiresAt = std::min(result.expiresAt, leaseDeadline(lease));
    }
    return result;
}

void SlotClaims::releaseAll(MonotonicTime now)
{
    m_leaving = true;
    for (const SlotIndex slot : slotsHeldBy(m_fold, m_terms.holder))
        m_retired.emplace(slot, now);
}

bool SlotClaims::awaitsRecord(MonotonicTime now) const
{
    return m_sent.contains(m_lastSent) && now < m_lastSentAt + internal::recordTimeout;
}

bool SlotClaims::renewalDue(const std::vector<SlotIndex>& slots, MonotonicTime now) const
{
    return std::ranges::any_of(slots, [&](SlotIndex slot) {
        const auto lease = m_leases.find(slot);
        return lease == m_leases.end() || now >= lease->second.requestedAt + m_terms.lease / internal::renewalParts;
    });
}

std::vector<SlotBasis> SlotClaims::basesOf(const std::vector<SlotIndex>& slots) const
{
    std::vector<SlotBasis> result;
    for (const SlotIndex slot : slots)
        result.push_back({ slot, m_fold.slots[number(slot)].lastRecord });
    return result;
}

SlotView SlotClaims::viewOf(const SlotFold& fold, const std::vector<SlotObservation>& observations, const std::vector<HostId>& hosts) const
{
    return { fold, observations, isReadFromStart(), m_readStartedAt, m_terms.lease, m_terms.host, m_terms.holder, hosts };
}

std::vector<SlotBasis> SlotClaims::dueClaims(const std::vector<HostId>& hosts, MonotonicTime now) const
{
    if (m_leaving)
        return {};
    if (!m_fold.slots.empty())
        return slotsToClaim(viewOf(m_fold, m_observations, hosts), internal::claimDelay, now);
    SlotFold emptyFold;
    emptyFold.slots.resize(m_terms.slotCount);
    return slotsToClaim(viewOf(emptyFold, std::vector<SlotObservation>(m_terms.slotCount), hosts), internal::claimDelay, now);
}

// A slot is first retired, and released only when all loans of its slice have expired.
std::vector<SlotBasis> SlotClaims::dueReleases(const std::vector<HostId>& hosts, MonotonicTime now)
{
    if (m_retired.empty() && !m_leaving && !m_fold.slots.empty()) {
        for (const SlotBasis& basis : slotsToRelease(viewOf(m_fold, m_observations, hosts)))
            m_retired.emplace(basis.slot, now);
    }
    std::vector<SlotIndex> due;
    for (const auto& [slot, since] : m_retired) {
        if (now >= since + m_terms.loanTerm && m_fold.slots[number(slot)].holder == m_terms.holder)
            due.push_back(slot);
    }
    return basesOf(due);
}

std::optional<SlotRecord> SlotClaims::makeRecord(SlotRecordKind kind, std::vector<SlotBasis> slots, const std::string& recordId, MonotonicTime now)
{
    if (m_sent.size() >= internal::maxSentRecords)
        m_sent.clear();
    m_sent.emplace(recordId, now);
    m_lastSent = recordId;
    m_lastSentAt = now;
    const std::uint32_t slotCount = m_fold.slots.empty() ? m_terms.slotCount : static_cast<std::uint32_t>(m_fold.slots.size());
    return SlotRecord { recordId, kind, m_terms.host, m_terms.holder, slotCount, m_terms.lease, m_readFrom, std::move(slots) };
}

std::optional<SlotRecord> SlotClaims::nextRecord(const std::vector<HostId>& hosts, const std::string& recordId, MonotonicTime now)
{
    if (awaitsRecord(now))
        return std::nullopt;
    removeExpiredLeases(now);
    if (auto due = dueReleases(hosts, now); !due.empty())
        return makeRecord(SlotRecordKind::Release, std::move(due), recordId, now);
    const std::vector<SlotIndex> own = slotsHeldBy(m_fold, m_terms.holder);
    if (!m_leaving && renewalDue(own, now))
        return makeRecord(SlotRecordKind::Renew, basesOf(own), recordId, now);
    if (auto slots = dueClaims(hosts, now); !slots.empty())
        return makeRecord(SlotRecordKind::Claim, std::move(slots), recordId, now);
    return std::nullopt;
}

} // namespace lacewingsail
