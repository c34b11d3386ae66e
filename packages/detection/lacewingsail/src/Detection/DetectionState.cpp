#include <lacewingsail/Detection.h>

#include "EvidenceTables.h"

#include <algorithm>
#include <set>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::seconds consecutiveWindow { 30 };
    constexpr std::uint64_t answersOfTheRest = 3;
    constexpr int baselineConsecutiveErrors = 5;
    constexpr std::chrono::seconds baselineEjection { 30 };

} // namespace internal

DetectionState::DetectionState(const HostSettings& settings, const Clock& clock, Journal& journal)
    : m_settings(settings)
    , m_clock(clock)
    , m_journal(journal)
{
}

void DetectionState::take(const AttemptEvidence& evidence)
{
    const std::lock_guard lock(m_mutex);
    const MonotonicTime now = m_clock.now();
    ServiceRecord& service = m_services[evidence.service];
    const auto found = service.servers.find(evidence.server);
    if (found == service.servers.end())
        return;
    ServerRecord& server = found->second;
    if (evidence.outcome == AttemptOutcome::Leaving)
        server.saidLeaving = true;
    const EvidenceClass evidenceClass = classify(evidence, service.usual);
    if (evidence.outcome == AttemptOutcome::Answered)
        recordLatency(service.usual, evidence.latency, now);
    if (evidenceClass == EvidenceClass::Neutral || evidence.stallAlreadyReported)
        return;
    server.reachable = evidence.outcome != AttemptOutcome::ConnectFailed;
    if (evidence.probe) {
        recordProbe(server.recovery, evidenceClass == EvidenceClass::Success, now);
        return;
    }
    recordAttempt(server.counts, evidenceClass, now);
    recordAttempt(service.counts, evidenceClass, now);
    ++(evidenceClass == EvidenceClass::Success ? service.good : service.bad);
    if (evidenceClass == EvidenceClass::Failure) {
        if (server.consecutiveFailures == 0) {
            server.goodBefore = service.good;
            server.badBefore = service.bad;
        }
        ++server.consecutiveFailures;
        server.lastBadAt = now;
    } else {
        server.consecutiveFailures = 0;
    }
}

FleetStandings DetectionState::decide(const Configuration& configuration)
{
    const std::lock_guard lock(m_mutex);
    const MonotonicTime now = m_clock.now();
    std::erase_if(m_digests, [now](const auto& entry) { return !internal::isFresh(entry.second, now); });
    alignWith(configuration, now);
    m_linkSuspect = suspectsLink(now);
    FleetStandings result;
    for (const Service& service : configuration.services) {
        ServiceRecord& record = m_services[service.id];
        judgeServers(service, record, m_linkSuspect, now);
        std::vector<ServerCondition> conditions;
        for (const BackendServer& server : service.backendServers)
            conditions.push_back(conditionOf(service, server, record.servers[server.id], now));
        const auto outcomes = decideEjections(service.floor, conditions);
        auto& standings = result.standings.emplace_back();
        auto& shares = result.warmupShares.emplace_back();
        for (std::size_t index = 0; index < outcomes.size(); ++index) {
            const BackendServer& server = service.backendServers[index];
            ServerRecord& serverRecord = record.servers[server.id];
            apply(service, server, serverRecord, outcomes[index], now);
            standings.push_back(serverRecord.standing);
            shares.push_back(warmupShare(serverRecord.recovery, now));
        }
    }
    m_started = true;
    return result;
}

void DetectionState::alignWith(const Configuration& configuration, MonotonicTime now)
{
    std::set<ServiceId> configured;
    for (const Service& service : configuration.services) {
        configured.insert(service.id);
        const bool firstSight = !m_started || !m_services.contains(service.id);
        alignWith(service, m_services[service.id], firstSight, now);
    }
    std::erase_if(m_services, [&](const auto& entry) { return !configured.contains(entry.first); });
}

void DetectionState::alignWith(const Service& service, ServiceRecord& record, bool firstSight, MonotonicTime now)
{
    std::set<BackendServerId> configured;
    for (const BackendServer& server : service.backendServers) {
        configured.insert(server.id);
        const bool isNew = record.servers.try_emplace(server.id).second;
        // A server that joins a known service is cold; a host that starts knows of none which is.
        if (isNew && !firstSight)
            beginWarmup(record.servers[server.id].recovery, now);
    }
    std::erase_if(record.servers, [&](const auto& entry) { return !configured.contains(entry.first); });
}

// Failures that nobody else sees, at many servers of every service in use, have their cause near this host.
bool DetectionState::suspectsLink(MonotonicTime now)
{
    bool anyService = false;
    for (auto& [service, record] : m_services) {
        std::size_t tried = 0;
        std::size_t failing = 0;
        for (auto& [server, serverRecord] : record.servers) {
            decay(serverRecord.counts, now);
            if (serverRecord.counts.attempts < internal::recentAttempts || serverRecord.standing != Standing::Serving)
                continue;
            ++tried;
            failing += internal::failsMostly(serverRecord.counts) && !accusedElsewhere(serverHash(service, server)) ? 1 : 0;
        }
        if (tried == 0)
            continue;
        if (!suspectsLocalLink(failing, tried))
            return false;
        anyService = true;
    }
    return anyService;
}

// Failures in a row while the rest of the service answered; none if the rest failed too.
int DetectionState::failuresAlone(const ServiceRecord& service, const ServerRecord& server, MonotonicTime now)
{
    if (server.consecutiveFailures == 0 || now - server.lastBadAt >= internal::consecutiveWindow)
        return 0;
    const std::uint64_t goodSince = service.good - server.goodBefore;
    const std::uint64_t badSince = service.bad - server.badBefore - static_cast<std::uint64_t>(server.consecutiveFailures - 1);
    const bool restAnswers = goodSince >= internal::answersOfTheRest && goodSince > internal::answersOfTheRest * badSince;
    return restAnswers ? server.consecutiveFailures : 0;
}

void DetectionState::judgeServers(const Service& service, ServiceRecord& record, bool linkSuspected, MonotonicTime now)
{
    decay(record.counts, now);
    const std::uint64_t serviceHash = stableHash(service.id.value());
    for (const BackendServer& server : service.backendServers) {
        ServerRecord& serverRecord = record.servers[server.id];
        // Good probes say more than what was seen before the ejection.
        if (hasPassedProbes(serverRecord.recovery)) {
            serverRecord.counts = {};
            serverRecord.consecutiveFailures = 0;
        }
        decay(serverRecord.counts, now);
        const auto peers = testimonies(serviceHash, serverHash(service.id, server.id), now);
        const HostEvidence own { m_settings.zone, serverRecord.counts, record.counts };
        serverRecord.judgement = assessServer(server.zone, own, failuresAlone(record, serverRecord, now), linkSuspected, peers);
        if (serverRecord.standing != Standing::Serving)
            continue;
        if (serverRecord.judgement.isFleetOutlier)
            serverRecord.condemnedByFleetAt = now;
        else if (now - serverRecord.recovery.returnedAt > internal::condemnationLifetime)
            serverRecord.judgement.isFleetOutlier = condemnedElsewhere(server.zone, serverHash(service.id, server.id), now);
    }
}

bool DetectionState::isCondemned(const Service& service, const ServerRecord& record) const
{
    if (record.pin)
        return record.pin->kind == Pin::Kind::Ejected;
    if (m_settings.strategy == DispatchStrategy::RoundRobin || service.mode == EjectionMode::Off)
        return false;
    if (m_settings.strategy == DispatchStrategy::ConsecutiveErrors)
        return record.consecutiveFailures >= internal::baselineConsecutiveErrors;
    const bool byEvidence = record.judgement.isLocalOutlier || record.judgement.isFleetOutlier;
    return byEvidence && (service.mode == EjectionMode::Automatic || record.confirmed);
}

bool DetectionState::isCleared(const Service& service, const ServerRecord& record, MonotonicTime now) const
{
    if (record.pin)
        return record.pin->kind == Pin::Kind::Serving;
    if (service.mode == EjectionMode::Off)
        return true;
    if (m_settings.strategy == DispatchStrategy::ConsecutiveErrors)
        return now - record.ejectedAt >= internal::baselineEjection;
    return hasPassedProbes(record.recovery);
}

ServerCondition DetectionState::conditionOf(const Service& service, const BackendServer& server, ServerRecord& record, MonotonicTime now) const
{
    const ServerHash hash = serverHash(service.id, server.id);
    if (record.pin && now >= record.pin->expiresAt)
        record.pin.reset();
    const bool pinnedServing = record.pin && record.pin->kind == Pin::Kind::Serving;
    record.saidLeaving = !pinnedServing && (record.saidLeaving || leavingElsewhere(hash, now));
    const bool byEvidence = record.judgement.isLocalOutlier || record.judgement.isFleetOutlier;
    record.proposed = service.mode == EjectionMode::Propose && byEvidence && record.standing == Standing::Serving;
    ServerCondition condition;
    condition.slots = server.slots;
    condition.leaving = server.leaving || record.saidLeaving;
    condition.reachable = record.reachable;
    condition.warmupShare = warmupShare(record.recovery, now);
    condition.ejected = record.standing == Standing::Ejected;
    condition.ejectionRequested = isCondemned(service, record);
    condition.returnRequested = isCleared(service, record, now);
    condition.severity = record.judgement.severity + (record.standing == Standing::Ejected ? 0 : record.consecutiveFailures);
    condition.ejectedElsewhere = announcedElsewhere(hash, now);
    return condition;
}

void DetectionState::apply(const Service& service, const BackendServer& server, ServerRecord& record, const EjectionOutcome& outcome, MonotonicTime now)
{
    const Standing before = record.standing;
    const EjectionRule ruleBefore = record.rule;
    record.standing = outcome.standing;
    record.rule = outcome.rule == EjectionRule::Unchanged && record.proposed && !record.confirmed ? EjectionRule::Proposed : outcome.rule;
    if (before != record.standing) {
        journalChange(service, server, record, before);
        if (record.standing == Standing::Ejected) {
            record.ejectedAt = now;
            beginHold(record.recovery, now);
        } else if (before == Standing::Ejected)
            beginReturn(record.recovery, outcome.rule == EjectionRule::ReturnRequested, now);
        if (record.standing == Standing::Serving) {
            record.counts = {};
            record.consecutiveFailures = 0;
            record.confirmed = false;
        }
    } else if (record.rule != ruleBefore && record.rule != EjectionRule::Unchanged) {
        journalChange(service, server, record, before);
    }
}

void DetectionState::journalChange(const Service& service, const BackendServer& server, const ServerRecord& record, Standing before)
{
    const OutlierAssessment& judgement = record.judgement;
    Event event("standing");
    event.with("host", m_settings.id).with("service", service.id).with("server", server.id);
    event.with("from", nameOf(before)).with("to", nameOf(record.standing)).with("rule", nameOf(record.rule));
    event.with("scope", judgement.isFleetOutlier ? "fleet" : "own-path");
    event.with("attempts_tenths", static_cast<long long>(judgement.attempts * 10)).with("bad_tenths", static_cast<long long>(judgement.failures * 10));
    event.with("slow_tenths", static_cast<long long>(judgement.slow * 10)).with("accusers", judgement.reportingHosts);
    event.with("consecutive", record.consecutiveFailures);
    if (record.pin)
        event.with("pinned_by", record.pin->author);
    event.with("reversed_by", reversalCondition(record.standing, record.rule));
    m_journal.record(event);
}

void DetectionState::serve(const FleetSnapshot& snapshot)
{
    if (!snapshot.tables || m_settings.strategy != DispatchStrategy::Evidence)
        return;
    const std::lock_guard lock(m_mutex);
    const MonotonicTime now = m_clock.now();
    const auto& services = snapshot.tables->configuration->services;
    for (std::size_t service = 0; service < services.size(); ++service) {
        const auto found = m_services.find(services[service].id);
        if (found == m_services.end())
            continue;
        snapshot.attemptLimits[service]->stallTimeout.store(stallTimeout(found->second.usual).count(), std::memory_order_relaxed);
        for (std::size_t server = 0; server < services[service].backendServers.size(); ++server) {
            const auto record = found->second.servers.find(services[service].backendServers[server].id);
            if (record == found->second.servers.end())
                continue;
            serveTo(*snapshot.loads[service][server], record->second, now);
        }
    }
}

void DetectionState::serveTo(BackendServerLoad& load, ServerRecord& record, MonotonicTime now)
{
    // Only a mark that was decided here is taken back: a request may have set one that is still to be decided on.
    if ((record.standing == Standing::Leaving) != record.leavingMarked) {
        record.leavingMarked = record.standing == Standing::Leaving;
        load.leaving.store(record.leavingMarked, std::memory_order_relaxed);
    }
    const bool pinnedOut = record.pin && record.pin->kind == Pin::Kind::Ejected;
    if (record.standing == Standing::Ejected && !pinnedOut && tryStartProbe(record.recovery, now))
        load.allowedProbes.store(1, std::memory_order_relaxed);
}

} // namespace lacewingsail
