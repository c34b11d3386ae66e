#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <map>

using namespace lacewingsail;

namespace {

struct ZoneChoiceFixture {
    std::vector<ZoneCapacity> zones { { ZoneId("a"), 6, 36, 10 }, { ZoneId("b"), 5, 30, 10 }, { ZoneId("c"), 6, 36, 10 } };

    double shareOf(const ZoneId& zone, const ZoneId& localZone) const
    {
        constexpr int draws = 1000;
        int chosen = 0;
        for (int draw = 0; draw < draws; ++draw) {
            const auto position = chooseZone(zones, localZone, (draw + 0.5) / draws);
            chosen += position && zones[*position].zone == zone ? 1 : 0;
        }
        return static_cast<double>(chosen) / draws;
    }
};

} // namespace

TEST_CASE_FIXTURE(ZoneChoiceFixture, "chooseZone, local servers have capacity left, stays local whatever the load of others")
{
    zones[1].load = 0;
    zones[2].load = 18;
    CHECK(shareOf(ZoneId("c"), ZoneId("c")) == 1);
}

TEST_CASE_FIXTURE(ZoneChoiceFixture, "chooseZone, local servers are overloaded, moves part of the excess to the least loaded zone")
{
    zones[2].load = 60;
    CHECK(shareOf(ZoneId("a"), ZoneId("c")) > 0.2);
    CHECK(shareOf(ZoneId("c"), ZoneId("c")) > 0.4);
    CHECK(shareOf(ZoneId("b"), ZoneId("c")) == 0);
}

TEST_CASE_FIXTURE(ZoneChoiceFixture, "chooseZone, all zones equally overloaded, stays local")
{
    for (ZoneCapacity& capacity : zones)
        capacity.load = capacity.slots * 1.4;
    CHECK(shareOf(ZoneId("b"), ZoneId("b")) == 1);
}

TEST_CASE_FIXTURE(ZoneChoiceFixture, "chooseZone, no local server, chooses the least loaded zone")
{
    CHECK(shareOf(ZoneId("a"), ZoneId("d")) == 1);
    zones.clear();
    CHECK_FALSE(chooseZone(zones, ZoneId("d"), 0.5));
}

TEST_CASE("cellIndex, servers of a large service, fall into cells of about the same size")
{
    CHECK(cellCount(0) == 1);
    CHECK(cellCount(6) == 1);
    CHECK(cellCount(48) == 3);
    std::map<std::uint32_t, int> sizes;
    for (int index = 0; index < 480; ++index)
        ++sizes[cellIndex(BackendServerId("i-" + std::to_string(index * 7919)), 30)];
    CHECK(sizes.size() == 30);
    for (const auto& [cell, size] : sizes)
        CHECK(size >= 5);
}
