#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace lacewingsail {

namespace internal {

    constexpr double firstCoordinatorShare = 0.55;
    constexpr double secondCoordinatorShare = 0.25;
    // Hosts without a coordinator draw their parts at random, so that their sum varies; on average it is this share of what is
    // reserved for it.
    constexpr double uncoordinatedShare = 0.25;
    constexpr double mostBound = 1e6;
    constexpr std::chrono::milliseconds countedPeriod { 100 };
    static_assert(countedPeriod * (RecentlyPlaced::periods - 1) >= coldServerWindow);

    std::int64_t periodOf(MonotonicTime now) { return now.time_since_epoch() / countedPeriod; }

    std::size_t position(std::int64_t period) { return static_cast<std::size_t>(period) % RecentlyPlaced::periods; }

    int countRecent(const RecentlyPlaced& placed, MonotonicTime now)
    {
        const std::int64_t oldest = periodOf(now) - static_cast<std::int64_t>(RecentlyPlaced::periods) + 1;
        int sum = 0;
        for (std::int64_t period = std::max(oldest, placed.period - static_cast<std::int64_t>(RecentlyPlaced::periods) + 1); period <= placed.period; ++period)
            sum += placed.counts[position(period)];
        return sum;
    }

    // Finalizer of splitmix64: successive values give independent results.
    std::uint64_t mixed(std::uint64_t value)
    {
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
        return value ^ (value >> 31);
    }

    double uniformAt(std::uint64_t seed, MonotonicTime now)
    {
        const auto window = static_cast<std::uint64_t>(now.time_since_epoch() / coldServerWindow);
        return static_cast<double>(mixed(seed + window * 0x9e3779b97f4a7c15U) >> 11) * 0x1.0p-53;
    }

} // namespace internal

std::optional<int> coldServerBound(RequestsPerSecond coldRate, const GatewayBounds& bounds)
{
    if (!(coldRate.value > 0))
        return std::nullopt;
    return static_cast<int>(std::min(coldRate.value * bounds.coldOvershoot + bounds.coldSlack, internal::mostBound));
}

ColdServerPart coldServerPart(int bound, ColdServerSender sender, const GrantAuthority& authority)
{
    // Whole requests, so that the parts add up to the bound at most.
    const int first = std::min(bound, std::max(1, static_cast<int>(bound * internal::firstCoordinatorShare)));
    const int second = static_cast<int>(bound * internal::secondCoordinatorShare);
    const int reserved = bound - first - second;
    double part = 0;
    switch (sender) {
    case ColdServerSender::FirstCoordinator:
        part = first;
        break;
    case ColdServerSender::SecondCoordinator:
        part = second;
        break;
    case ColdServerSender::Uncoordinated:
        part = reserved * internal::uncoordinatedShare;
        break;
    }
    return { part * authority.share, authority.since };
}

void countPlacement(RecentlyPlaced& placed, MonotonicTime now)
{
    const std::int64_t period = internal::periodOf(now);
    const std::int64_t skipped = std::min(period - placed.period, static_cast<std::int64_t>(RecentlyPlaced::periods));
    for (std::int64_t offset = 0; offset < skipped; ++offset)
        placed.counts[internal::position(period - offset)] = 0;
    placed.period = std::max(placed.period, period);
    std::uint16_t& count = placed.counts[internal::position(placed.period)];
    if (count < std::numeric_limits<std::uint16_t>::max())
        ++count;
}

bool mayPlaceOnColdServer(const RecentlyPlaced& placed, const ColdServerPart& part, std::uint64_t seed, MonotonicTime now)
{
    if (now < part.since + coldServerWindow)
        return false;
    const int recent = internal::countRecent(placed, now);
    if (part.requests >= 1)
        return recent + 1 <= part.requests;
    return recent == 0 && internal::uniformAt(seed, now) < part.requests;
}

} // namespace lacewingsail
