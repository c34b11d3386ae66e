#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cmath>

namespace lacewingsail {

namespace internal {

    // Enough for a share within a tenth, and few enough to follow a change within a part of a second at the usual load of a cell.
    constexpr double countedOutcomes = 40;
    // Periods of refusals last for several seconds.
    constexpr std::chrono::duration<double> refusalsTimeConstant { 2.0 };
    // Accepted requests that are assumed beforehand, so that a few refusals at low load are no high share.
    constexpr double assumedAccepted = 2;
    // A service refuses alike while at least this share is refused by the servers other than the last one that refused, until
    // less than the second share is refused by all.
    constexpr double alikeBeginShare = 0.25;
    constexpr double alikeEndShare = 0.12;
    // Shares of the latency objective. Callers honour a delay up to a third of the time that they have left, and most of that has
    // to remain for further attempts.
    constexpr double alikeDelayShare = 0.02;
    constexpr double alikeJitterShare = 0.08;
    // For routes without a latency objective, and for hosts whose clocks and callers resolve no less.
    constexpr std::chrono::milliseconds minAlikeDelay { 10 };
    constexpr std::chrono::milliseconds minAlikeJitter { 20 };
    constexpr std::chrono::milliseconds maxAlikeDelay { 50 };
    constexpr std::chrono::milliseconds maxAlikeJitter { 200 };

    double decayAt(const ServiceRefusals& service, MonotonicTime now)
    {
        return service.counts.decay + std::max(0.0, std::chrono::duration<double>(now - service.updatedAt) / refusalsTimeConstant);
    }

    RefusalCounts decayed(const RefusalCounts& counts, double decay)
    {
        const double factor = std::exp(counts.decay - decay);
        return { counts.refused * factor, counts.accepted * factor, decay };
    }

    double share(double refused, double accepted) { return refused / (refused + accepted + assumedAccepted); }

    void add(RefusalCounts& counts, bool refused) { (refused ? counts.refused : counts.accepted) += 1; }

} // namespace internal

void recordRefusal(ServiceRefusals& service, RefusalCounts& server, bool refused, MonotonicTime now)
{
    // The server's counts decay as the service's do, so that they can be subtracted from them.
    const double decay = (service.updatedAt == MonotonicTime {} ? 0 : internal::decayAt(service, now)) + 1 / internal::countedOutcomes;
    service.counts = internal::decayed(service.counts, decay);
    service.updatedAt = now;
    server = internal::decayed(server, decay);
    internal::add(service.counts, refused);
    internal::add(server, refused);
    if (refused && refusedShareOfOthers(service, server, now) >= internal::alikeBeginShare)
        service.alike = true;
    else if (refusedShare(service, now) < internal::alikeEndShare)
        service.alike = false;
}

double refusedShare(const ServiceRefusals& service, MonotonicTime now)
{
    const RefusalCounts counts = internal::decayed(service.counts, internal::decayAt(service, now));
    return internal::share(counts.refused, counts.accepted);
}

double refusedShareOfOthers(const ServiceRefusals& service, const RefusalCounts& server, MonotonicTime now)
{
    const double decay = internal::decayAt(service, now);
    const RefusalCounts all = internal::decayed(service.counts, decay);
    const RefusalCounts own = internal::decayed(server, decay);
    return internal::share(std::max(0.0, all.refused - own.refused), std::max(0.0, all.accepted - own.accepted));
}

bool refusesAlike(const ServiceRefusals& service, MonotonicTime now)
{
    return service.alike && refusedShare(service, now) >= internal::alikeEndShare;
}

RefusedRetryDelay retryDelayAfterAlikeRefusal(std::chrono::milliseconds latencyObjective)
{
    using std::chrono::milliseconds;
    return { std::clamp(std::chrono::duration_cast<milliseconds>(latencyObjective * internal::alikeDelayShare), internal::minAlikeDelay, internal::maxAlikeDelay),
        std::clamp(std::chrono::duration_cast<milliseconds>(latencyObjective * internal::alikeJitterShare), internal::minAlikeJitter, internal::maxAlikeJitter) };
}

} // namespace lacewingsail
