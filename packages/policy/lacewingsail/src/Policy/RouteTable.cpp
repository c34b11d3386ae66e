#include <lacewingsail/Policy.h>

namespace lacewingsail {

namespace internal {

    std::string_view withoutQuery(std::string_view target) { return target.substr(0, target.find('?')); }

    const Route* findByMethod(const std::vector<const Route*>& routes, std::string_view method)
    {
        for (const Route* route : routes) {
            if (route->method == method)
                return route;
        }
        return nullptr;
    }

    // "/a/b" becomes "/a", "/a" becomes "/", and "/" becomes empty.
    std::string_view parentPath(std::string_view path)
    {
        if (path.size() <= 1)
            return {};
        const auto slash = path.rfind('/');
        if (slash == std::string_view::npos)
            return {};
        return slash == 0 ? path.substr(0, 1) : path.substr(0, slash);
    }

} // namespace internal

RouteTable makeRouteTable(const std::vector<Route>& routes)
{
    RouteTable table;
    for (const Route& route : routes)
        table.byPrefix[route.pathPrefix].push_back(&route);
    return table;
}

const Route* findRoute(const RouteTable& table, std::string_view method, std::string_view target)
{
    std::string_view path = internal::withoutQuery(target);
    while (!path.empty()) {
        const auto found = table.byPrefix.find(path);
        if (found != table.byPrefix.end()) {
            if (const Route* route = internal::findByMethod(found->second, method))
                return route;
        }
        path = internal::parentPath(path);
    }
    return nullptr;
}

} // namespace lacewingsail
