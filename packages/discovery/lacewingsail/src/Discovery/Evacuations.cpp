#include <lacewingsail/Discovery.h>

#include <algorithm>

namespace lacewingsail {

// Removes the oldest ended evacuation if need be.
bool Evacuations::makeRoom()
{
    if (m_entries.size() < maxZones)
        return true;
    auto oldest = m_entries.end();
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
        if (entry->second.ended && (oldest == m_entries.end() || entry->second.position < oldest->second.position))
            oldest = entry;
    }
    if (oldest == m_entries.end())
        return false;
    m_entries.erase(oldest);
    return true;
}

EvacuationChange Evacuations::apply(const ZoneEvacuation& record)
{
    auto found = m_entries.find(record.zone);
    if (found == m_entries.end()) {
        if (!makeRoom())
            return EvacuationChange::Refused;
        const std::optional<LogOffset> beganAt = record.ended ? std::nullopt : std::optional(record.position.offset);
        m_entries.emplace(record.zone, Entry { record.position, record.ended, beganAt });
        return record.ended ? EvacuationChange::None : EvacuationChange::Began;
    }
    Entry& entry = found->second;
    if (record.position < entry.position)
        return EvacuationChange::None;
    const bool fromCopy = record.position.era > entry.position.era && entry.beganAt == record.position.offset;
    const bool shownAgain = entry.ended && (record.position == entry.position || fromCopy);
    const bool wasEnded = entry.ended;
    // Also a copy's record takes effect as the newest position, so that hosts that know only the copy hear of the end.
    entry.position = record.position;
    entry.ended = record.ended || shownAgain;
    if (!entry.ended)
        entry.beganAt = record.position.offset;
    if (entry.ended == wasEnded)
        return EvacuationChange::None;
    return entry.ended ? EvacuationChange::Ended : EvacuationChange::Began;
}

std::vector<ZoneEvacuation> Evacuations::missingFrom(std::span<const ZoneId> shown, StorePosition end) const
{
    std::vector<ZoneEvacuation> ends;
    for (const auto& [zone, entry] : m_entries) {
        const bool covered = entry.position.era == end.era && entry.position < end;
        if (entry.ended || !covered || std::ranges::find(shown, zone) != shown.end())
            continue;
        // The next record may begin an evacuation at the end itself.
        ends.push_back({ zone, { end.era, LogOffset { number(end.offset) - 1 } }, true });
    }
    return ends;
}

bool Evacuations::isEvacuated(const ZoneId& zone) const
{
    const auto found = m_entries.find(zone);
    return found != m_entries.end() && !found->second.ended;
}

std::vector<ZoneEvacuation> Evacuations::records() const
{
    std::vector<ZoneEvacuation> result;
    result.reserve(m_entries.size());
    for (const auto& [zone, entry] : m_entries)
        result.push_back({ zone, entry.position, entry.ended });
    return result;
}

} // namespace lacewingsail
