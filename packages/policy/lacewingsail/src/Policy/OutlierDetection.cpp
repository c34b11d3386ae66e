#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::duration<double> evidenceHalfLife { 5 };
    constexpr std::chrono::duration<double> latencyHalfLife { 10 };
    constexpr std::chrono::milliseconds minStallTimeout { 100 };
    constexpr std::chrono::milliseconds defaultStallTimeout { 1000 };
    constexpr std::chrono::milliseconds minSlowMargin { 20 };
    constexpr double minLatencyCount = 10;
    constexpr double stallFactorOfMedian = 8;
    constexpr double stallFactorOfTail = 3;
    constexpr double slowFactorOfMedian = 4;
    constexpr double binsPerDoubling = 3;
    constexpr double firstBinMicroseconds = 100;

    // Even in a healthy service failures and slow responses are expected at these rates.
    constexpr double minExpectedFailureRate = 0.002;
    constexpr double minExpectedSlowRate = 0.02;
    constexpr double standardDeviations = 3.5;
    constexpr double minExcessFailures = 2;
    constexpr double minFailureShare = 0.1;
    constexpr double minSlowShare = 0.5;
    constexpr int consecutiveFailureThreshold = 3;
    constexpr int minReportingHosts = 2;
    constexpr double minReportedCount = 0.5;
    constexpr double serviceWideShare = 0.3;

    double decayFactor(Duration elapsed, std::chrono::duration<double> halfLife)
    {
        return std::exp2(-std::chrono::duration<double>(elapsed) / halfLife);
    }

    std::size_t binIndex(std::chrono::microseconds latency)
    {
        const double ratio = std::max(1.0, static_cast<double>(latency.count()) / firstBinMicroseconds);
        const auto bin = static_cast<std::size_t>(std::log2(ratio) * binsPerDoubling);
        return std::min(bin, DecayingLatencyHistogram::binCount - 1);
    }

    std::chrono::microseconds binUpperBound(std::size_t bin)
    {
        return std::chrono::microseconds(static_cast<std::int64_t>(firstBinMicroseconds * std::exp2(static_cast<double>(bin + 1) / binsPerDoubling)));
    }

    std::chrono::microseconds scaleLatency(std::chrono::microseconds latency, double factor)
    {
        return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(latency.count()) * factor));
    }

    void add(EvidenceCounts& sum, const EvidenceCounts& counts)
    {
        sum.attempts += counts.attempts;
        sum.failures += counts.failures;
        sum.slow += counts.slow;
    }

    double rateOfOtherServers(double service, double server, double serviceAttempts, double serverAttempts)
    {
        const double attempts = serviceAttempts - serverAttempts;
        return attempts > 0 ? std::max(0.0, service - server) / attempts : 0;
    }

    // Whether there are more failures than the rest of the service explains, allowing for random variation.
    bool exceedsExpected(double failures, double attempts, double expectedRate, double minShare)
    {
        const double expected = attempts * expectedRate;
        return failures >= minShare * attempts && failures > expected + standardDeviations * std::sqrt(expected) + minExcessFailures;
    }

    bool isOutlier(const EvidenceCounts& server, const EvidenceCounts& service)
    {
        const double failuresElsewhere = rateOfOtherServers(service.failures, server.failures, service.attempts, server.attempts);
        const double slowElsewhere = rateOfOtherServers(service.slow, server.slow, service.attempts, server.attempts);
        if (failuresElsewhere + slowElsewhere >= serviceWideShare)
            return false;
        return exceedsExpected(server.failures, server.attempts, std::max(failuresElsewhere, minExpectedFailureRate), minFailureShare)
            || exceedsExpected(server.slow + server.failures, server.attempts, std::max(slowElsewhere, minExpectedSlowRate), minSlowShare);
    }

    bool reportsFailures(const HostEvidence& evidence)
    {
        const EvidenceCounts& server = evidence.server;
        return server.failures >= minReportedCount || (server.slow >= minReportedCount && server.slow >= minSlowShare * server.attempts);
    }

    bool isServiceWide(const HostEvidence& local)
    {
        return rateOfOtherServers(local.service.failures + local.service.slow, local.server.failures + local.server.slow, local.service.attempts, local.server.attempts) >= serviceWideShare;
    }

} // namespace internal

void decay(EvidenceCounts& counts, MonotonicTime now)
{
    if (now <= counts.updatedAt)
        return;
    const double factor = internal::decayFactor(now - counts.updatedAt, internal::evidenceHalfLife);
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

void recordLatency(DecayingLatencyHistogram& histogram, std::chrono::microseconds latency, MonotonicTime now)
{
    if (now > histogram.updatedAt) {
        const double factor = internal::decayFactor(now - histogram.updatedAt, internal::latencyHalfLife);
        for (double& bin : histogram.bins)
            bin *= factor;
        histogram.total *= factor;
        histogram.updatedAt = now;
    }
    histogram.bins[internal::binIndex(latency)] += 1;
    histogram.total += 1;
}

std::chrono::microseconds quantile(const DecayingLatencyHistogram& histogram, double share)
{
    if (histogram.total < internal::minLatencyCount)
        return std::chrono::microseconds(0);
    double sum = 0;
    for (std::size_t bin = 0; bin < DecayingLatencyHistogram::binCount; ++bin) {
        sum += histogram.bins[bin];
        if (sum >= share * histogram.total)
            return internal::binUpperBound(bin);
    }
    return internal::binUpperBound(DecayingLatencyHistogram::binCount - 1);
}

std::chrono::microseconds stallTimeout(const DecayingLatencyHistogram& histogram)
{
    const auto median = quantile(histogram, 0.5);
    if (median.count() == 0)
        return internal::defaultStallTimeout;
    const auto byMedian = internal::scaleLatency(median, internal::stallFactorOfMedian);
    const auto byTail = internal::scaleLatency(quantile(histogram, 0.95), internal::stallFactorOfTail);
    return std::max({ byMedian, byTail, std::chrono::microseconds(internal::minStallTimeout) });
}

EvidenceClass classify(const AttemptEvidence& evidence, const DecayingLatencyHistogram& histogram)
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
    const auto median = quantile(histogram, 0.5);
    if (median.count() == 0)
        return EvidenceClass::Success;
    const auto bound = std::max(internal::scaleLatency(median, internal::slowFactorOfMedian), median + internal::minSlowMargin);
    return evidence.latency > bound ? EvidenceClass::Slow : EvidenceClass::Success;
}

ServerHash serverHash(const ServiceId& service, const BackendServerId& server) { return rendezvousWeight(service.value(), server.value()); }

bool suspectsLocalLink(std::size_t failingServers, std::size_t triedServers)
{
    // Fewer than three failing servers are too little evidence, however few were tried.
    return failingServers >= 3 && failingServers * 3 > triedServers;
}

OutlierAssessment assessServer(const ZoneId& serverZone, const HostEvidence& local, int consecutiveFailures, bool linkSuspected, std::span<const HostEvidence> peers)
{
    OutlierAssessment assessment;
    EvidenceCounts server;
    EvidenceCounts service;
    std::set<ZoneId> zones;
    const auto addEvidence = [&](const HostEvidence& evidence) {
        internal::add(server, evidence.server);
        internal::add(service, evidence.service);
        if (!internal::reportsFailures(evidence))
            return;
        ++assessment.reportingHosts;
        zones.insert(evidence.zone);
    };
    if (!linkSuspected)
        addEvidence(local);
    for (const HostEvidence& evidence : peers)
        addEvidence(evidence);
    assessment.attempts = server.attempts;
    assessment.failures = server.failures;
    assessment.slow = server.slow;
    assessment.severity = server.failures + server.slow / 2;
    const bool failsConsecutively = consecutiveFailures >= internal::consecutiveFailureThreshold && !internal::isServiceWide(local);
    assessment.isLocalOutlier = !linkSuspected && (failsConsecutively || internal::isOutlier(local.server, local.service));
    // If only hosts of one other zone report failures, the network path between the two zones may be at fault. That is
    // ruled out if the hosts are in the server's own zone.
    const bool severalZones = zones.size() >= 2 || zones.contains(serverZone);
    assessment.isFleetOutlier = assessment.reportingHosts >= internal::minReportingHosts && severalZones && internal::isOutlier(server, service);
    return assessment;
}

} // namespace lacewingsail
