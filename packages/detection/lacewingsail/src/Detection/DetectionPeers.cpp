#include <lacewingsail/Detection.h>

#include "EvidenceTables.h"

#include <algorithm>
#include <set>

namespace lacewingsail {

namespace internal {

    constexpr std::size_t announcersThatCount = 2;
    constexpr std::size_t mostToldServers = 64;

} // namespace internal

void DetectionState::take(PeerEvidence digest)
{
    const std::lock_guard lock(m_mutex);
    digest.receivedAt = m_clock.now();
    HostId host = digest.host;
    m_digests[std::move(host)] = std::move(digest);
}

bool DetectionState::accusedElsewhere(ServerHash server) const
{
    return std::any_of(m_digests.begin(), m_digests.end(), [server](const auto& entry) {
        const auto found = entry.second.servers.find(server);
        return found != entry.second.servers.end() && internal::failsMostly(found->second);
    });
}

std::vector<HostEvidence> DetectionState::testimonies(std::uint64_t service, ServerHash server, MonotonicTime now) const
{
    std::vector<HostEvidence> result;
    for (const auto& [host, digest] : m_digests) {
        if (digest.linkSuspected || !digest.servers.contains(server))
            continue;
        result.push_back({ digest.zone, internal::countsIn(digest.servers, server, now), internal::countsIn(digest.services, service, now) });
    }
    return result;
}

bool DetectionState::announcedElsewhere(ServerHash server, MonotonicTime now) const
{
    const auto announces = [&](const auto& entry) { return internal::isFresh(entry.second, now) && internal::contains(entry.second.ejected, server); };
    return static_cast<std::size_t>(std::count_if(m_digests.begin(), m_digests.end(), announces)) >= internal::announcersThatCount;
}

// Hosts that eject send a server nothing more, so that the last ones would wait long for evidence of their own. They
// follow several hosts that the same evidence convinced; a condemnation that was only followed is not passed on.
bool DetectionState::condemnedElsewhere(const ZoneId& serverZone, ServerHash server, MonotonicTime now) const
{
    std::set<ZoneId> zones;
    std::size_t hosts = 0;
    for (const auto& [host, digest] : m_digests) {
        if (digest.linkSuspected || now - digest.receivedAt >= internal::condemnationLifetime || !internal::contains(digest.fleetOutliers, server))
            continue;
        ++hosts;
        zones.insert(digest.zone);
    }
    return hosts >= internal::announcersThatCount && (zones.size() >= 2 || zones.contains(serverZone));
}

bool DetectionState::leavingElsewhere(ServerHash server, MonotonicTime now) const
{
    return std::any_of(m_digests.begin(), m_digests.end(), [&](const auto& entry) {
        return internal::isFresh(entry.second, now) && internal::contains(entry.second.leaving, server);
    });
}

PeerEvidence DetectionState::digest()
{
    const std::lock_guard lock(m_mutex);
    const MonotonicTime now = m_clock.now();
    PeerEvidence digest { m_settings.id, m_settings.zone, now, m_linkSuspect, {}, {}, {}, {}, {} };
    std::vector<std::pair<double, std::pair<ServerHash, EvidenceCounts>>> worst;
    for (auto& [service, record] : m_services) {
        decay(record.counts, now);
        bool anything = false;
        for (auto& [server, serverRecord] : record.servers) {
            const ServerHash hash = serverHash(service, server);
            decay(serverRecord.counts, now);
            const EvidenceCounts& counts = serverRecord.counts;
            const bool complains = counts.failures + counts.slow >= internal::worthTelling;
            const bool answersComplaint = counts.attempts >= internal::worthTelling && std::any_of(m_digests.begin(), m_digests.end(), [hash](const auto& entry) { return entry.second.servers.contains(hash); });
            if (complains || answersComplaint)
                worst.push_back({ counts.failures + counts.slow / 2, { hash, counts } });
            anything = anything || complains || answersComplaint;
            if (serverRecord.standing == Standing::Ejected)
                digest.ejected.push_back(hash);
            if (now - serverRecord.condemnedByFleetAt < internal::condemnationLifetime)
                digest.fleetOutliers.push_back(hash);
            if (serverRecord.saidLeaving)
                digest.leaving.push_back(hash);
        }
        if (anything)
            digest.services.emplace(stableHash(service.value()), record.counts);
    }
    std::sort(worst.begin(), worst.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
    worst.resize(std::min(worst.size(), internal::mostToldServers));
    for (auto& [severity, entry] : worst)
        digest.servers.insert(entry);
    return digest;
}

} // namespace lacewingsail
