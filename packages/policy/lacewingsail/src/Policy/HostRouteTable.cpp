#include <lacewingsail/Policy.h>

namespace lacewingsail {

namespace internal {

    const Route* findLongestPrefix(const TextMap<const Route*>& routes, std::string_view path)
    {
        while (!path.empty()) {
            const std::size_t slash = path.rfind('/');
            if (slash == std::string_view::npos)
                return nullptr;
            path = path.substr(0, slash + 1);
            if (const auto found = routes.find(path); found != routes.end())
                return found->second;
            path.remove_suffix(1);
        }
        return nullptr;
    }

    std::string_view withoutPort(std::string_view host)
    {
        return host.substr(0, host.rfind(':'));
    }

} // namespace internal

HostRouteTable makeHostRouteTable(const std::vector<Route>& routes)
{
    HostRouteTable table;
    for (const Route& route : routes)
        table.byHost[route.host].emplace(route.pathPrefix, &route);
    return table;
}

const Route* findRoute(const HostRouteTable& table, std::string_view host, std::string_view target)
{
    const std::string_view path = target.substr(0, target.find('?'));
    auto found = table.byHost.find(host);
    if (found == table.byHost.end())
        found = table.byHost.find(internal::withoutPort(host));
    if (found == table.byHost.end())
        return nullptr;
    return internal::findLongestPrefix(found->second, path);
}

const ServiceId& chooseService(const Route& route, std::uint64_t random)
{
    std::uint64_t sum = 0;
    for (const ServiceShare& share : route.split)
        sum += static_cast<std::uint64_t>(share.weight);
    if (sum == 0)
        return route.service;
    std::uint64_t remainder = random % sum;
    for (const ServiceShare& share : route.split) {
        const auto weight = static_cast<std::uint64_t>(share.weight);
        if (remainder < weight)
            return share.service;
        remainder -= weight;
    }
    return route.split.back().service;
}

} // namespace lacewingsail
