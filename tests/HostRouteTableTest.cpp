#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;

namespace {

struct HostRouteTableFixture {
    std::vector<Route> routes;
    HostRouteTable table;

    void add(const char* id, const char* host, const char* prefix)
    {
        Route route;
        route.id = RouteId(id);
        route.host = host;
        route.pathPrefix = prefix;
        route.service = ServiceId("desk");
        routes.push_back(route);
    }

    std::string find(std::string_view host, std::string_view target)
    {
        table = makeHostRouteTable(routes);
        const Route* route = findRoute(table, host, target);
        return route ? route->id.value() : "";
    }
};

} // namespace

TEST_CASE_FIXTURE(HostRouteTableFixture, "findRoute, two prefixes match, returns the route of the longer one")
{
    add("outer", "clubs.example", "/loans/");
    add("inner", "clubs.example", "/loans/new/");
    CHECK(find("clubs.example", "/loans/new/7?x=/a/") == "inner");
    CHECK(find("clubs.example", "/loans/7") == "outer");
    CHECK(find("clubs.example", "/loans/new") == "outer");
}

TEST_CASE_FIXTURE(HostRouteTableFixture, "findRoute, path of another host, finds nothing")
{
    add("outer", "clubs.example", "/loans/");
    CHECK(find("other.example", "/loans/7").empty());
    CHECK(find("clubs.example", "/other/7").empty());
    CHECK(find("clubs.example:8080", "/loans/7") == "outer");
}

TEST_CASE_FIXTURE(HostRouteTableFixture, "chooseService, weighted split, gives each service its share")
{
    Route route;
    route.split = { { ServiceId("desk"), 90 }, { ServiceId("archive"), 10 } };
    int archive = 0;
    for (std::uint64_t random = 0; random < 1000; ++random)
        archive += chooseService(route, random) == ServiceId("archive") ? 1 : 0;
    CHECK(archive == 100);
}

TEST_CASE_FIXTURE(HostRouteTableFixture, "chooseService, service of weight zero, never gets a request")
{
    Route route;
    route.split = { { ServiceId("desk"), 0 }, { ServiceId("archive"), 3 } };
    for (std::uint64_t random = 0; random < 10; ++random)
        CHECK(chooseService(route, random) == ServiceId("archive"));
}
