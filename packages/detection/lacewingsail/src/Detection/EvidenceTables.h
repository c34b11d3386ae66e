#pragma once

#include "DetectionState.h"

#include <algorithm>
#include <map>
#include <vector>

/// \brief What the sources of DetectionState share.
namespace lacewingsail::internal {

constexpr std::chrono::seconds digestLifetime { 10 };
// Shorter than the hold, so that a server's return is not undone by the news of its ejection.
constexpr std::chrono::milliseconds condemnationLifetime { 1500 };
constexpr double recentAttempts = 0.3;
constexpr double worthTelling = 0.2;

inline bool isFresh(const PeerEvidence& digest, MonotonicTime now) { return now - digest.receivedAt < digestLifetime; }

inline bool contains(const std::vector<ServerHash>& list, ServerHash server) { return std::find(list.begin(), list.end(), server) != list.end(); }

inline bool failsMostly(const EvidenceCounts& counts) { return counts.attempts >= recentAttempts && counts.failures * 2 >= counts.attempts; }

inline EvidenceCounts faded(EvidenceCounts counts, MonotonicTime now)
{
    decay(counts, now);
    return counts;
}

template <typename Key>
inline EvidenceCounts countsIn(const std::map<Key, EvidenceCounts>& table, Key key, MonotonicTime now)
{
    const auto found = table.find(key);
    return found == table.end() ? EvidenceCounts {} : faded(found->second, now);
}

} // namespace lacewingsail::internal
