#include <lacewingsail/Policy.h>

#include <algorithm>
#include <tuple>

namespace lacewingsail {

namespace internal {

    struct RankedHost {
        /// Compared before the weight.
        double processorShare = 0;
        std::uint64_t weight = 0;
        const LiveHost* host = nullptr;
    };

    std::vector<const LiveHost*> firstHosts(std::vector<RankedHost> ranked, std::size_t maxCount)
    {
        const std::size_t count = std::min(maxCount, ranked.size());
        const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(ranked.begin(), middle, ranked.end(), [](const RankedHost& left, const RankedHost& right) { return std::tie(left.processorShare, left.weight) > std::tie(right.processorShare, right.weight); });
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
