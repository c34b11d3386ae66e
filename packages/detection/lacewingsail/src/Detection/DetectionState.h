#pragma once

#include <lacewingsail/Observe.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lacewingsail {

/// \brief An operator's decision on one backend server, in force until it expires.
struct Pin {
    enum class Kind : unsigned char {
        Serving,
        Ejected,
    };
    Kind kind = Kind::Serving;
    MonotonicTime expiresAt {};
    std::string author;
};

/// \brief What an operator is shown of one backend server.
struct ServerReport {
    ServiceId service;
    BackendServerId server;
    Standing standing = Standing::Serving;
    Percent share { 100 };
    EjectionRule rule = EjectionRule::Unchanged;
    OutlierAssessment judgement;
    bool proposed = false;
    std::optional<Pin> pin;
};

/// \brief The evidence that a host has, and the standings it concludes from it. Safe to use from several threads;
/// not for request threads.
class DetectionState {
public:
    DetectionState(const HostSettings&, const Clock&, Journal&);

    /// \brief Takes in one attempt of the own request threads.
    void take(const AttemptEvidence&);

    /// \brief Takes in what another host says; replaces what it said before.
    void take(PeerEvidence);

    /// \brief Decides the standings of every server of \p configuration and remembers them as those in force.
    FleetStandings decide(const Configuration& configuration);

    /// \returns what the other hosts should know; bounded in size.
    PeerEvidence digest();

    /// \brief Hands probes and stall bounds to the requests that read \p snapshot.
    void serve(const FleetSnapshot& snapshot);

    /// \brief Confirms the proposed ejection of a server. \returns false if none is proposed.
    bool confirm(const ServiceId&, const BackendServerId&, const std::string& author);

    /// \brief Pins a server. \returns false if no such server is configured.
    bool pin(const ServiceId&, const BackendServerId&, Pin);

    /// \returns every server that is not plainly serving, or has evidence against it.
    std::vector<ServerReport> reports();

private:
    struct ServerRecord {
        EvidenceCounts counts;
        int consecutiveFailures = 0;
        MonotonicTime lastBadAt {};
        /// What the service had answered well and badly when the failures in a row began.
        std::uint64_t goodBefore = 0;
        std::uint64_t badBefore = 0;
        bool reachable = true;
        /// Its answer to this host or to another said so. Stands until the server is configured anew or pinned.
        bool saidLeaving = false;
        /// Whether requests have been told that it is leaving.
        bool leavingMarked = false;
        bool confirmed = false;
        bool proposed = false;
        Standing standing = Standing::Serving;
        EjectionRule rule = EjectionRule::Unchanged;
        MonotonicTime ejectedAt {};
        MonotonicTime condemnedByFleetAt {};
        Recovery recovery;
        OutlierAssessment judgement;
        std::optional<Pin> pin;
    };
    struct ServiceRecord {
        EvidenceCounts counts;
        DecayingLatencyHistogram usual;
        std::uint64_t good = 0;
        std::uint64_t bad = 0;
        std::map<BackendServerId, ServerRecord> servers;
    };

    void alignWith(const Configuration&, MonotonicTime now);
    void alignWith(const Service&, ServiceRecord&, bool firstSight, MonotonicTime now);
    bool suspectsLink(MonotonicTime now);
    bool accusedElsewhere(ServerHash) const;
    void judgeServers(const Service&, ServiceRecord&, bool linkSuspected, MonotonicTime now);
    void serveTo(BackendServerLoad&, ServerRecord&, MonotonicTime now);
    static int failuresAlone(const ServiceRecord&, const ServerRecord&, MonotonicTime now);
    std::vector<HostEvidence> testimonies(std::uint64_t service, ServerHash, MonotonicTime now) const;
    bool isCondemned(const Service&, const ServerRecord&) const;
    bool isCleared(const Service&, const ServerRecord&, MonotonicTime now) const;
    ServerCondition conditionOf(const Service&, const BackendServer&, ServerRecord&, MonotonicTime now) const;
    void apply(const Service&, const BackendServer&, ServerRecord&, const EjectionOutcome&, MonotonicTime now);
    void journalChange(const Service&, const BackendServer&, const ServerRecord&, Standing before);
    bool announcedElsewhere(ServerHash, MonotonicTime now) const;
    bool condemnedElsewhere(const ZoneId& serverZone, ServerHash, MonotonicTime now) const;
    bool leavingElsewhere(ServerHash, MonotonicTime now) const;

    const HostSettings& m_settings;
    const Clock& m_clock;
    Journal& m_journal;
    std::mutex m_mutex;
    std::map<ServiceId, ServiceRecord> m_services;
    std::map<HostId, PeerEvidence> m_digests;
    bool m_linkSuspect = false;
    bool m_started = false;
};

} // namespace lacewingsail
