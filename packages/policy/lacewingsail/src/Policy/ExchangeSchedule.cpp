#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cassert>
#include <map>

namespace lacewingsail {

namespace internal {

    constexpr std::size_t maxPartners = 32;

    // Alternates between the zones, so that the first hosts of a round are spread over all zones.
    std::vector<HostId> shuffleOrder(const std::vector<Host>& peers, std::minstd_rand& random)
    {
        std::map<ZoneId, std::vector<HostId>> byZone;
        for (const Host& peer : peers)
            byZone[peer.zone].push_back(peer.id);
        std::size_t largestZoneSize = 0;
        for (auto& [zone, hosts] : byZone) {
            std::ranges::shuffle(hosts, random);
            largestZoneSize = std::max(largestZoneSize, hosts.size());
        }
        std::vector<HostId> order;
        for (std::size_t turn = 0; turn < largestZoneSize; ++turn) {
            for (const auto& [zone, hosts] : byZone) {
                if (turn < hosts.size())
                    order.push_back(hosts[turn]);
            }
        }
        return order;
    }

} // namespace internal

std::vector<Host> nextPartners(ExchangeSchedule& schedule, const std::vector<Host>& peers, std::size_t count)
{
    std::vector<Host> partners;
    for (std::size_t step = 0; step < peers.size() + schedule.order.size() && partners.size() < std::min(count, peers.size()); ++step) {
        if (schedule.next >= schedule.order.size()) {
            schedule.order = internal::shuffleOrder(peers, schedule.random);
            schedule.next = 0;
        }
        const HostId& id = schedule.order[schedule.next++];
        const auto peer = std::ranges::find(peers, id, &Host::id);
        if (peer != peers.end() && std::ranges::find(partners, id, &Host::id) == partners.end())
            partners.push_back(*peer);
    }
    return partners;
}

std::size_t partnerCount(std::size_t listedHosts, bool logAvailable, std::chrono::milliseconds bound, std::chrono::milliseconds interval)
{
    assert(interval.count() > 0);
    if (logAvailable)
        return 1;
    const auto rounds = std::max<std::size_t>(1, static_cast<std::size_t>(bound / 2 / interval));
    const std::size_t half = (listedHosts + 1) / 2;
    return std::clamp<std::size_t>((half + rounds - 1) / rounds, 1, internal::maxPartners);
}

} // namespace lacewingsail
