#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace lacewingsail;

namespace {

struct DisplacedLoadFixture {
    std::vector<ZoneCapacity> zones { { ZoneId("b"), 10, 60, 24 }, { ZoneId("c"), 10, 60, 36 } };

    std::size_t chosen(std::size_t zone, std::size_t draws) const
    {
        std::size_t count = 0;
        for (std::size_t draw = 0; draw < draws; ++draw)
            count += chooseZoneByFreeCapacity(zones, (static_cast<double>(draw) + 0.5) / static_cast<double>(draws)) == zone ? 1 : 0;
        return count;
    }
};

} // namespace

TEST_CASE_FIXTURE(DisplacedLoadFixture, "chooseZoneByFreeCapacity, zone evacuated at 0.8 of the remaining capacity, no zone gets more than it has room for")
{
    // 96 requests are in flight, 36 of them displaced; all are placed from the same view of the load.
    constexpr std::size_t displaced = 36;
    for (std::size_t zone = 0; zone < zones.size(); ++zone) {
        const double load = zones[zone].load + static_cast<double>(chosen(zone, displaced));
        CHECK(load / zones[zone].slots < 0.85);
    }
    CHECK(chosen(0, displaced) + chosen(1, displaced) == displaced);
}

TEST_CASE_FIXTURE(DisplacedLoadFixture, "chooseZoneByFreeCapacity, one zone is full, gets few requests")
{
    zones[1].load = 90;
    CHECK(chosen(1, 1000) > 0);
    CHECK(chosen(1, 1000) < 100);
}

TEST_CASE_FIXTURE(DisplacedLoadFixture, "chooseZoneByFreeCapacity, zones without servers or no zone, are not chosen")
{
    zones[0] = { ZoneId("b"), 0, 0, 0 };
    CHECK(chosen(1, 100) == 100);
    zones.clear();
    CHECK_FALSE(chooseZoneByFreeCapacity(zones, 0.5));
}

TEST_CASE_FIXTURE(DisplacedLoadFixture, "hasServers, zone evacuated or without servers, has none")
{
    CHECK(hasServers(zones, ZoneId("b")));
    CHECK_FALSE(hasServers(zones, ZoneId("a")));
    zones[0].serverCount = 0;
    CHECK_FALSE(hasServers(zones, ZoneId("b")));
}
