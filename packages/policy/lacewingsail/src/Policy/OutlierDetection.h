#pragma once

#include "Evidence.h"

#include <lacewingsail/World.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace lacewingsail {

/// \brief Which way an attempt counts in the judgement of a backend server.
enum class EvidenceClass : unsigned char {
    /// Says nothing about the server: cancelled, shed, leaving.
    Neutral,
    Success,
    /// Answered whole, but far later than the service usually does.
    Slow,
    /// Failed, stalled, broken, wrong, or no connection.
    Failure,
};

/// \brief Attempts at one backend server, or at a whole service; old ones count less and less.
struct EvidenceCounts {
    double attempts = 0;
    double failures = 0;
    double slow = 0;
    MonotonicTime updatedAt {};
};

/// \brief Lets the counts decay to what they are worth at \p now.
void decay(EvidenceCounts&, MonotonicTime now);

/// \brief Counts one attempt.
void recordAttempt(EvidenceCounts&, EvidenceClass, MonotonicTime now);

/// \brief Histogram of a service's times to answer, from which its usual latency is read; old ones decay.
struct DecayingLatencyHistogram {
    static constexpr std::size_t binCount = 64;
    std::array<double, binCount> bins {};
    double total = 0;
    MonotonicTime updatedAt {};
};

void recordLatency(DecayingLatencyHistogram&, std::chrono::microseconds latency, MonotonicTime now);

/// \returns the latency below which \p share of the answers lie, or zero while there are too few answers.
std::chrono::microseconds quantile(const DecayingLatencyHistogram&, double share);

/// \returns the time without a byte after which an attempt counts as stalled.
std::chrono::microseconds stallTimeout(const DecayingLatencyHistogram&);

/// \brief Classifies one attempt against what the service usually needs.
EvidenceClass classify(const AttemptEvidence&, const DecayingLatencyHistogram&);

/// \brief A name of a backend server that fits into messages.
using ServerHash = std::uint64_t;
ServerHash serverHash(const ServiceId&, const BackendServerId&);

/// \brief What another host said last.
struct PeerEvidence {
    HostId host;
    ZoneId zone;
    MonotonicTime receivedAt {};
    /// The host sees failures at so many servers that its own link is the likelier cause.
    bool linkSuspected = false;
    /// By service name hash: all its attempts there.
    std::map<std::uint64_t, EvidenceCounts> services;
    /// Servers with failures, or that others complained of.
    std::map<ServerHash, EvidenceCounts> servers;
    std::vector<ServerHash> ejected;
    std::vector<ServerHash> leaving;
    /// Servers that the evidence of several hosts condemned there a moment ago.
    std::vector<ServerHash> fleetOutliers;
};

/// \brief One host's word on a server and on the rest of its service.
struct HostEvidence {
    ZoneId zone;
    EvidenceCounts server;
    EvidenceCounts service;
};

/// \brief The judgement of one backend server.
struct OutlierAssessment {
    bool isLocalOutlier = false;
    bool isFleetOutlier = false;
    double severity = 0;
    double attempts = 0;
    double failures = 0;
    double slow = 0;
    int reportingHosts = 0;
};

/// \brief Judges a server by this host's own evidence and by that of the others.
/// \param consecutiveFailures failures in a row on the own path, the last one recent.
/// \param linkSuspected whether this host's own link is the likelier cause of what it saw.
/// \param peers what the hosts with a sound link say.
OutlierAssessment assessServer(const ZoneId& serverZone, const HostEvidence& own, int consecutiveFailures, bool linkSuspected, std::span<const HostEvidence> peers);

/// \returns whether failures at \p failingServers of \p triedServers speak rather against the host's own link.
bool suspectsLocalLink(std::size_t failingServers, std::size_t triedServers);

} // namespace lacewingsail
