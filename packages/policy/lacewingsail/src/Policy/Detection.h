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
    Neither,
    Good,
    /// Answered whole, but far later than the service usually does.
    Slow,
    /// Failed, stalled, broken, wrong, or no connection.
    Bad,
};

/// \brief Attempts at one backend server, or at a whole service; old ones count less and less.
struct EvidenceCounts {
    double attempts = 0;
    double bad = 0;
    double slow = 0;
    MonotonicTime updatedAt {};
};

/// \brief Lets the counts fade to what they are worth at \p now.
void fade(EvidenceCounts&, MonotonicTime now);

/// \brief Counts one attempt.
void count(EvidenceCounts&, EvidenceClass, MonotonicTime now);

/// \brief Histogram of a service's times to answer, from which its usual latency is read; old ones fade.
struct UsualLatency {
    static constexpr std::size_t binCount = 64;
    std::array<double, binCount> bins {};
    double total = 0;
    MonotonicTime updatedAt {};
};

void record(UsualLatency&, std::chrono::microseconds latency, MonotonicTime now);

/// \returns the latency below which \p share of the answers lie, or zero while there are too few answers.
std::chrono::microseconds quantile(const UsualLatency&, double share);

/// \returns the time without a byte after which an attempt counts as stalled.
std::chrono::microseconds stallBound(const UsualLatency&);

/// \brief Classifies one attempt against what the service usually needs.
EvidenceClass classify(const AttemptEvidence&, const UsualLatency&);

/// \brief A name of a backend server that fits into messages.
using ServerHash = std::uint64_t;
ServerHash serverHash(const ServiceId&, const BackendServerId&);

/// \brief What another host said last.
struct PeerDigest {
    HostId host;
    ZoneId zone;
    MonotonicTime heardAt {};
    /// The host sees failures at so many servers that its own link is the likelier cause.
    bool linkSuspect = false;
    /// By service name hash: all its attempts there.
    std::map<std::uint64_t, EvidenceCounts> services;
    /// Servers with failures, or that others complained of.
    std::map<ServerHash, EvidenceCounts> servers;
    std::vector<ServerHash> ejected;
    std::vector<ServerHash> leaving;
    /// Servers that the evidence of several hosts condemned there a moment ago.
    std::vector<ServerHash> condemned;
};

/// \brief One host's word on a server and on the rest of its service.
struct Testimony {
    ZoneId zone;
    EvidenceCounts server;
    EvidenceCounts service;
};

/// \brief The judgement of one backend server.
struct Judgement {
    bool condemnedOnOwnPath = false;
    bool condemnedByFleet = false;
    double badness = 0;
    double attempts = 0;
    double bad = 0;
    double slow = 0;
    int accusers = 0;
};

/// \brief Judges a server by this host's own evidence and by that of the others.
/// \param consecutiveBad failures in a row on the own path, the last one recent.
/// \param linkSuspect whether this host's own link is the likelier cause of what it saw.
/// \param peers what the hosts with a sound link say.
Judgement judge(const ZoneId& serverZone, const Testimony& own, int consecutiveBad, bool linkSuspect, std::span<const Testimony> peers);

/// \returns whether failures at \p failingServers of \p triedServers speak rather against the host's own link.
bool suspectsOwnLink(std::size_t failingServers, std::size_t triedServers);

} // namespace lacewingsail
