#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::duration<double> evidenceHalfLife { 5 };
    constexpr std::chrono::duration<double> latencyHalfLife { 10 };
    constexpr std::chrono::milliseconds shortestStallBound { 100 };
    constexpr std::chrono::milliseconds stallBoundBeforeEvidence { 1000 };
    constexpr std::chrono::milliseconds smallestSlowness { 20 };
    constexpr double fewestLatencies = 10;
    constexpr double stallFactorOfMedian = 8;
    constexpr double stallFactorOfTail = 3;
    constexpr double slowFactorOfMedian = 4;
    constexpr double binsPerDoubling = 3;
    constexpr double firstBinMicroseconds = 100;

    // Failures are expected at this rate even where nothing is wrong.
    constexpr double leastExpectedBad = 0.002;
    constexpr double leastExpectedSlow = 0.02;
    constexpr double deviations = 3.5;
    constexpr double fewestFailures = 2;
    constexpr double leastBadShare = 0.1;
    constexpr double leastSlowShare = 0.5;
    constexpr int mostConsecutiveBad = 3;
    constexpr int fewestAccusers = 2;
    constexpr double accusationCount = 0.5;
    constexpr double serviceWideShare = 0.3;

    double fadeFactor(Duration elapsed, std::chrono::duration<double> halfLife)
    {
        return std::exp2(-std::chrono::duration<double>(elapsed) / halfLife);
    }

    std::size_t binOf(std::chrono::microseconds latency)
    {
        const double ratio = std::max(1.0, static_cast<double>(latency.count()) / firstBinMicroseconds);
        const auto bin = static_cast<std::size_t>(std::log2(ratio) * binsPerDoubling);
        return std::min(bin, DecayingLatencyHistogram::binCount - 1);
    }

    std::chrono::microseconds upperBoundOf(std::size_t bin)
    {
        return std::chrono::microseconds(static_cast<std::int64_t>(firstBinMicroseconds * std::exp2(static_cast<double>(bin + 1) / binsPerDoubling)));
    }

    std::chrono::microseconds scaled(std::chrono::microseconds latency, double factor)
    {
        return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(latency.count()) * factor));
    }

    void add(EvidenceCounts& sum, const EvidenceCounts& counts)
    {
        sum.attempts += counts.attempts;
        sum.failures += counts.failures;
        sum.slow += counts.slow;
    }

    double shareElsewhere(double service, double server, double serviceAttempts, double serverAttempts)
    {
        const double attempts = serviceAttempts - serverAttempts;
        return attempts > 0 ? std::max(0.0, service - server) / attempts : 0;
    }

    // More failures than the rest of the service explains, with room for chance.
    bool stands(double failures, double attempts, double shareOfOthers, double leastShare)
    {
        const double expected = attempts * shareOfOthers;
        return failures >= leastShare * attempts && failures > expected + deviations * std::sqrt(expected) + fewestFailures;
    }

    bool isOutlier(const EvidenceCounts& server, const EvidenceCounts& service)
    {
        const double badElsewhere = shareElsewhere(service.failures, server.failures, service.attempts, server.attempts);
        const double slowElsewhere = shareElsewhere(service.slow, server.slow, service.attempts, server.attempts);
        if (badElsewhere + slowElsewhere >= serviceWideShare)
            return false;
        return stands(server.failures, server.attempts, std::max(badElsewhere, leastExpectedBad), leastBadShare)
            || stands(server.slow + server.failures, server.attempts, std::max(slowElsewhere, leastExpectedSlow), leastSlowShare);
    }

    bool accuses(const HostEvidence& testimony)
    {
        const EvidenceCounts& server = testimony.server;
        return server.failures >= accusationCount || (server.slow >= accusationCount && server.slow >= leastSlowShare * server.attempts);
    }

    bool isServiceWide(const HostEvidence& own)
    {
        return shareElsewhere(own.service.failures + own.service.slow, own.server.failures + own.server.slow, own.service.attempts, own.server.attempts) >= serviceWideShare;
    }

} // namespace internal

void decay(EvidenceCounts& counts, MonotonicTime now)
{
    if (now <= counts.updatedAt)
        return;
    const double factor = internal::fadeFactor(now - counts.updatedAt, internal::evidenceHalfLife);
    counts.attempts *= factor;
    counts.failures *= factor;
    counts.slow *= factor;
    counts.updatedAt = now;
}

void recordAttempt(EvidenceCounts& counts, EvidenceClass evidence, MonotonicTime now)
{
    decay(counts, now);
    if (evidence == EvidenceClass::Neutral)
        return;
    counts.attempts += 1;
    counts.failures += evidence == EvidenceClass::Failure ? 1 : 0;
    counts.slow += evidence == EvidenceClass::Slow ? 1 : 0;
}

void recordLatency(DecayingLatencyHistogram& usual, std::chrono::microseconds latency, MonotonicTime now)
{
    if (now > usual.updatedAt) {
        const double factor = internal::fadeFactor(now - usual.updatedAt, internal::latencyHalfLife);
        for (double& bin : usual.bins)
            bin *= factor;
        usual.total *= factor;
        usual.updatedAt = now;
    }
    usual.bins[internal::binOf(latency)] += 1;
    usual.total += 1;
}

std::chrono::microseconds quantile(const DecayingLatencyHistogram& usual, double share)
{
    if (usual.total < internal::fewestLatencies)
        return std::chrono::microseconds(0);
    double sum = 0;
    for (std::size_t bin = 0; bin < DecayingLatencyHistogram::binCount; ++bin) {
        sum += usual.bins[bin];
        if (sum >= share * usual.total)
            return internal::upperBoundOf(bin);
    }
    return internal::upperBoundOf(DecayingLatencyHistogram::binCount - 1);
}

std::chrono::microseconds stallTimeout(const DecayingLatencyHistogram& usual)
{
    const auto median = quantile(usual, 0.5);
    if (median.count() == 0)
        return internal::stallBoundBeforeEvidence;
    const auto byMedian = internal::scaled(median, internal::stallFactorOfMedian);
    const auto byTail = internal::scaled(quantile(usual, 0.95), internal::stallFactorOfTail);
    return std::max({ byMedian, byTail, std::chrono::microseconds(internal::shortestStallBound) });
}

EvidenceClass classify(const AttemptEvidence& evidence, const DecayingLatencyHistogram& usual)
{
    switch (evidence.outcome) {
    case AttemptOutcome::Shed:
    case AttemptOutcome::Leaving:
    case AttemptOutcome::Cancelled:
        return EvidenceClass::Neutral;
    case AttemptOutcome::Answered:
        break;
    default:
        return EvidenceClass::Failure;
    }
    const auto median = quantile(usual, 0.5);
    if (median.count() == 0)
        return EvidenceClass::Success;
    const auto bound = std::max(internal::scaled(median, internal::slowFactorOfMedian), median + internal::smallestSlowness);
    return evidence.latency > bound ? EvidenceClass::Slow : EvidenceClass::Success;
}

ServerHash serverHash(const ServiceId& service, const BackendServerId& server) { return rendezvousWeight(service.value(), server.value()); }

bool suspectsLocalLink(std::size_t failingServers, std::size_t triedServers)
{
    // Two failing servers of a few are no pattern yet.
    return failingServers >= 3 && failingServers * 3 > triedServers;
}

OutlierAssessment assessServer(const ZoneId& serverZone, const HostEvidence& own, int consecutiveFailures, bool linkSuspected, std::span<const HostEvidence> peers)
{
    OutlierAssessment judgement;
    EvidenceCounts server;
    EvidenceCounts service;
    std::set<ZoneId> zones;
    const auto hear = [&](const HostEvidence& testimony) {
        internal::add(server, testimony.server);
        internal::add(service, testimony.service);
        if (!internal::accuses(testimony))
            return;
        ++judgement.reportingHosts;
        zones.insert(testimony.zone);
    };
    if (!linkSuspected)
        hear(own);
    for (const HostEvidence& testimony : peers)
        hear(testimony);
    judgement.attempts = server.attempts;
    judgement.failures = server.failures;
    judgement.slow = server.slow;
    judgement.severity = server.failures + server.slow / 2;
    const bool inARow = consecutiveFailures >= internal::mostConsecutiveBad && !internal::isServiceWide(own);
    judgement.isLocalOutlier = !linkSuspected && (inARow || internal::isOutlier(own.server, own.service));
    // Hosts of one zone that fail to reach another zone show a fault of the way between; not so in the server's own.
    const bool severalZones = zones.size() >= 2 || zones.contains(serverZone);
    judgement.isFleetOutlier = judgement.reportingHosts >= internal::fewestAccusers && severalZones && internal::isOutlier(server, service);
    return judgement;
}

} // namespace lacewingsail
