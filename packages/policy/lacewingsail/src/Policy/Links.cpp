#include <lacewingsail/Policy.h>

#include <algorithm>
#include <set>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds minSilenceTimeout { 3000 };
    constexpr int silentRounds = 2;

} // namespace internal

const char* nameOf(LinkDirection direction)
{
    switch (direction) {
    case LinkDirection::Both:
        return "both";
    case LinkDirection::IncomingOnly:
        return "incoming-only";
    case LinkDirection::NotHeard:
        return "not-heard";
    }
    return "";
}

void updateListedHosts(LinkTable& links, const std::vector<Host>& listed, const HostId& self, MonotonicTime now)
{
    std::set<HostId> listedIds;
    for (const Host& host : listed) {
        if (host.id == self)
            continue;
        listedIds.insert(host.id);
        links.try_emplace(host.id, Link { now, std::nullopt, false, false });
    }
    std::erase_if(links, [&listedIds](const auto& entry) { return !listedIds.contains(entry.first); });
}

void recordHeard(LinkTable& links, const HostId& from, const HostId& self, const std::vector<HostId>& unheardHosts, bool leaving, MonotonicTime now)
{
    const auto found = links.find(from);
    if (found == links.end())
        return;
    found->second.lastHeardAt = now;
    found->second.leaving = leaving;
    found->second.doesNotHearUs = std::ranges::find(unheardHosts, self) != unheardHosts.end();
}

std::chrono::milliseconds silenceTimeout(std::size_t listedHosts, std::chrono::milliseconds interval)
{
    return internal::minSilenceTimeout + interval * static_cast<int>(listedHosts) * internal::silentRounds;
}

LinkDirection linkDirection(const Link& link, MonotonicTime now, std::chrono::milliseconds timeout)
{
    if (now - link.lastHeardAt.value_or(link.listedSince) > timeout)
        return LinkDirection::NotHeard;
    return link.doesNotHearUs ? LinkDirection::IncomingOnly : LinkDirection::Both;
}

} // namespace lacewingsail
