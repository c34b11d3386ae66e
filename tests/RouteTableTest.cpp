#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;

namespace {

struct RouteTableFixture {
    std::vector<Route> routes;
    RouteTable table;

    RouteTableFixture()
    {
        addRoute("root", "GET", "/");
        addRoute("clocks", "GET", "/clocks");
        addRoute("book", "POST", "/clocks");
        table = makeRouteTable(routes);
    }

    void addRoute(const char* name, const char* method, const char* prefix)
    {
        Route route;
        route.id = RouteId(name);
        route.method = method;
        route.pathPrefix = prefix;
        routes.push_back(route);
    }

    std::string find(const char* method, const char* target) const
    {
        const Route* route = findRoute(table, method, target);
        return route ? route->id.value() : "";
    }
};

} // namespace

TEST_CASE_FIXTURE(RouteTableFixture, "findRoute, nested path, returns the route of the longest prefix")
{
    CHECK(find("GET", "/clocks/7?x=/y") == "clocks");
    CHECK(find("POST", "/clocks") == "book");
}

TEST_CASE_FIXTURE(RouteTableFixture, "findRoute, prefix ends inside a path segment, does not match")
{
    CHECK(find("GET", "/clocksmith") == "root");
    CHECK(find("POST", "/clocksmith").empty());
}
