#include <lacewingsail/Policy.h>

#include <algorithm>
#include <tuple>

namespace lacewingsail {

namespace internal {

    // Hosts of a class differ by less.
    constexpr double strongPart = 0.5;

    struct Ranked {
        bool strong = false;
        std::uint64_t weight = 0;
        const LiveHost* host = nullptr;
    };

    std::vector<const LiveHost*> best(std::vector<Ranked> ranked, std::size_t most)
    {
        const std::size_t count = std::min(most, ranked.size());
        const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(ranked.begin(), middle, ranked.end(), [](const Ranked& left, const Ranked& right) { return std::tie(left.strong, left.weight) > std::tie(right.strong, right.weight); });
        std::vector<const LiveHost*> hosts;
        for (std::size_t index = 0; index < count; ++index)
            hosts.push_back(ranked[index].host);
        return hosts;
    }

} // namespace internal

std::vector<const LiveHost*> rankHosts(std::span<const LiveHost> hosts, std::string_view subject, std::size_t most)
{
    double share = 0;
    for (const LiveHost& host : hosts)
        share = std::max(share, host.processorShare);
    std::vector<internal::Ranked> ranked;
    for (const LiveHost& host : hosts)
        ranked.push_back({ host.processorShare >= internal::strongPart * share, rendezvousWeight(subject, host.id.value()), &host });
    return internal::best(std::move(ranked), most);
}

std::vector<const LiveHost*> relaysOf(std::span<const LiveHost> hosts, const ZoneId& zone)
{
    double share = 0;
    for (const LiveHost& host : hosts)
        share = host.zone == zone ? std::max(share, host.processorShare) : share;
    std::vector<internal::Ranked> ranked;
    for (const LiveHost& host : hosts) {
        if (host.zone == zone)
            ranked.push_back({ host.processorShare >= internal::strongPart * share, rendezvousWeight(zone.value(), host.id.value()), &host });
    }
    return internal::best(std::move(ranked), relaysPerZone);
}

} // namespace lacewingsail
