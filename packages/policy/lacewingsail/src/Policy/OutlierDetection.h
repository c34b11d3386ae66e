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

/// \brief How an attempt counts in the assessment of a backend server.
enum class EvidenceClass : unsigned char {
    /// Says nothing about the health of the server: cancelled, shed or leaving.
    Neutral,
    Success,
    /// Complete response, but far slower than usual for the service.
    Slow,
    /// Error response, stall, broken connection, invalid response or no connection.
    Failure,
};

/// \brief Exponentially decaying counts of attempts at one backend server or at a whole service.
struct EvidenceCounts {
    double attempts = 0;
    double failures = 0;
    double slow = 0;
    MonotonicTime updatedAt {};
};

/// \brief Decays the counts to their value at \p now.
void decay(EvidenceCounts&, MonotonicTime now);

/// \brief Counts one attempt.
void recordAttempt(EvidenceCounts&, EvidenceClass, MonotonicTime now);

/// \brief Histogram of the response times of a service with exponential decay, from which its usual latency is derived.
struct DecayingLatencyHistogram {
    static constexpr std::size_t binCount = 64;
    std::array<double, binCount> bins {};
    double total = 0;
    MonotonicTime updatedAt {};
};

void recordLatency(DecayingLatencyHistogram&, std::chrono::microseconds latency, MonotonicTime now);

/// \returns the latency below which \p share of the responses lie, or zero while there are too few responses.
std::chrono::microseconds quantile(const DecayingLatencyHistogram&, double share);

/// \returns the time without a byte after which an attempt counts as stalled.
std::chrono::microseconds stallTimeout(const DecayingLatencyHistogram&);

/// \brief Classifies one attempt relative to the usual latency of the service.
EvidenceClass classify(const AttemptEvidence&, const DecayingLatencyHistogram&);

/// \brief Hash of the ids of a service and a backend server, short enough for messages between hosts.
using ServerHash = std::uint64_t;
ServerHash serverHash(const ServiceId&, const BackendServerId&);

/// \brief Latest evidence received from another host.
struct PeerEvidence {
    HostId host;
    ZoneId zone;
    MonotonicTime receivedAt {};
    /// The host sees failures at so many servers that its own network link is the more likely cause.
    bool linkSuspected = false;
    /// All attempts of the host by hash of the service id.
    std::map<std::uint64_t, EvidenceCounts> services;
    /// Servers with failures, and servers for which other hosts reported failures.
    std::map<ServerHash, EvidenceCounts> servers;
    std::vector<ServerHash> ejected;
    std::vector<ServerHash> leaving;
    /// Servers that the host recently found to be outliers by the evidence of several hosts.
    std::vector<ServerHash> fleetOutliers;
};

/// \brief Evidence of one host about a server and about the whole service.
struct HostEvidence {
    ZoneId zone;
    EvidenceCounts server;
    EvidenceCounts service;
};

/// \brief Assessment of one backend server.
struct OutlierAssessment {
    /// By the attempts of this host alone.
    bool isLocalOutlier = false;
    /// By the evidence of several hosts.
    bool isFleetOutlier = false;
    /// Weighted number of failures; orders ejections and returns.
    double severity = 0;
    double attempts = 0;
    double failures = 0;
    double slow = 0;
    /// Number of hosts whose evidence speaks against the server.
    int reportingHosts = 0;
};

/// \brief Assesses a server by the evidence of this host and of other hosts.
/// \param consecutiveFailures consecutive failures of this host's attempts, the last one recent.
/// \param linkSuspected whether the network link of this host is the more likely cause of its failures.
/// \param peers evidence of the hosts that do not suspect their own link.
OutlierAssessment assessServer(const ZoneId& serverZone, const HostEvidence& local, int consecutiveFailures, bool linkSuspected, std::span<const HostEvidence> peers);

/// \returns whether failures at \p failingServers of \p triedServers point to this host's link rather than the servers.
bool suspectsLocalLink(std::size_t failingServers, std::size_t triedServers);

} // namespace lacewingsail
