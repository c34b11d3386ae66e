#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace lacewingsail {

namespace internal {

    constexpr double unknownProcessorShare = 0.1;

    struct RankedHost {
        /// Compared before the weight.
        double rank = 0;
        std::uint64_t weight = 0;
        const LiveHost* host = nullptr;
    };

    std::vector<const LiveHost*> firstHosts(std::vector<RankedHost> ranked, std::size_t maxCount)
    {
        const std::size_t count = std::min(maxCount, ranked.size());
        const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(ranked.begin(), middle, ranked.end(), [](const RankedHost& left, const RankedHost& right) { return std::tie(left.rank, left.weight) > std::tie(right.rank, right.weight); });
        std::vector<const LiveHost*> hosts;
        for (std::size_t index = 0; index < count; ++index)
            hosts.push_back(ranked[index].host);
        return hosts;
    }

} // namespace internal

std::vector<const LiveHost*> rankHosts(std::span<const LiveHost> hosts, std::string_view key, std::size_t maxCount)
{
    std::vector<internal::RankedHost> ranked;
    for (const LiveHost& host : hosts)
        ranked.push_back({ 0, rendezvousWeight(key, host.id.value()), &host });
    return internal::firstHosts(std::move(ranked), maxCount);
}

// Weighted rendezvous hashing: -w / ln(u), with u uniform in (0, 1), is the largest with a probability proportional to w.
std::vector<const LiveHost*> rankHostsByProcessor(std::span<const LiveHost> hosts, std::string_view key, std::size_t maxCount)
{
    std::vector<internal::RankedHost> ranked;
    for (const LiveHost& host : hosts) {
        const std::uint64_t weight = rendezvousWeight(key, host.id.value());
        const double uniform = (static_cast<double>(weight >> 11) + 0.5) * 0x1.0p-53;
        const double processorShare = host.processorShare > 0 ? host.processorShare : internal::unknownProcessorShare;
        ranked.push_back({ -processorShare / std::log(uniform), weight, &host });
    }
    return internal::firstHosts(std::move(ranked), maxCount);
}

std::vector<const LiveHost*> relaysInZone(std::span<const LiveHost> hosts, const ZoneId& zone)
{
    std::vector<internal::RankedHost> ranked;
    for (const LiveHost& host : hosts) {
        if (host.zone == zone)
            ranked.push_back({ host.processorShare, rendezvousWeight(zone.value(), host.id.value()), &host });
    }
    return internal::firstHosts(std::move(ranked), relaysPerZone);
}

} // namespace lacewingsail
