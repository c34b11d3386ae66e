#include <lacewingsail/Policy.h>

#include <algorithm>
#include <set>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds shortestSilence { 3000 };
    constexpr int roundsToBeHeard = 2;

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
    std::set<HostId> names;
    for (const Host& host : listed) {
        if (host.id == self)
            continue;
        names.insert(host.id);
        links.try_emplace(host.id, Link { now, std::nullopt, false, false });
    }
    std::erase_if(links, [&names](const auto& entry) { return !names.contains(entry.first); });
}

void recordHeard(LinkTable& links, const HostId& from, const HostId& self, const std::vector<HostId>& unheardByIt, bool leaving, MonotonicTime now)
{
    const auto found = links.find(from);
    if (found == links.end())
        return;
    found->second.lastHeardAt = now;
    found->second.leaving = leaving;
    found->second.doesNotHearUs = std::ranges::find(unheardByIt, self) != unheardByIt.end();
}

std::chrono::milliseconds silenceTimeout(std::size_t listedHosts, std::chrono::milliseconds interval)
{
    return internal::shortestSilence + interval * static_cast<int>(listedHosts) * internal::roundsToBeHeard;
}

LinkDirection linkDirection(const Link& link, MonotonicTime now, std::chrono::milliseconds silence)
{
    if (now - link.lastHeardAt.value_or(link.listedSince) > silence)
        return LinkDirection::NotHeard;
    return link.doesNotHearUs ? LinkDirection::IncomingOnly : LinkDirection::Both;
}

} // namespace lacewingsail
