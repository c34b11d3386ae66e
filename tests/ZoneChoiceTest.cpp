#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <cmath>
#include <map>
#include <numbers>

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

TEST_CASE_FIXTURE(ZoneChoiceFixture, "chooseZone, local servers are overloaded, moves part of the excess to the others in proportion to their free capacity")
{
    zones[2].load = 60;
    const double toA = shareOf(ZoneId("a"), ZoneId("c"));
    const double toB = shareOf(ZoneId("b"), ZoneId("c"));
    CHECK(toA + toB > 0.2);
    CHECK(shareOf(ZoneId("c"), ZoneId("c")) > 0.4);
    // Up to the common level of 0.78 a has 18 free slots, and b 13.5.
    CHECK(toA / toB > 1.2);
    CHECK(toA / toB < 1.5);
}

TEST_CASE_FIXTURE(ZoneChoiceFixture, "chooseZone, others have little free capacity, are sent no more than that")
{
    zones[0].load = 27;
    zones[1].load = 22.5;
    zones[2].load = 72;
    // The common level is 1.19, at which a and b have 15.9 and 13.3 free slots.
    zones[1].roundTrip = std::chrono::milliseconds(400);
    CHECK(shareOf(ZoneId("b"), ZoneId("c")) == 0);
    CHECK(shareOf(ZoneId("a"), ZoneId("c")) * zones[2].load <= 0.6 * 16);
    CHECK(shareOf(ZoneId("a"), ZoneId("c")) > 0.1);
}

TEST_CASE_FIXTURE(ZoneChoiceFixture, "chooseZone, way to another zone is long for the objective, less is moved")
{
    zones[2].load = 40;
    const auto movedWith = [&](std::chrono::milliseconds roundTrip, std::chrono::milliseconds objective) {
        zones[0].roundTrip = roundTrip;
        zones[1].roundTrip = roundTrip;
        int moved = 0;
        for (int draw = 0; draw < 1000; ++draw)
            moved += chooseZone(zones, ZoneId("c"), (draw + 0.5) / 1000, objective) != 2 ? 1 : 0;
        return moved;
    };
    CHECK(movedWith(std::chrono::milliseconds(8), std::chrono::milliseconds(300)) > 100);
    CHECK(movedWith(std::chrono::milliseconds(60), std::chrono::milliseconds(300)) == 0);
    CHECK(movedWith(std::chrono::milliseconds(60), std::chrono::milliseconds(3000)) > 100);
}

TEST_CASE("chooseZone, two zones whose waves are out of phase, shed without oscillation")
{
    // Requests of 0.35 s; each zone knows the loads of 0.5 s ago and moves a share of its arrivals.
    constexpr double step = 0.05;
    constexpr std::size_t delay = 10;
    constexpr double work = 0.35;
    constexpr double slots = 60;
    constexpr double period = 12;
    std::vector<std::array<double, 2>> loads { { 0.7 * slots, 0.7 * slots } };
    std::vector<std::array<double, 2>> moved;
    std::array<double, 2> mostOffered {};
    std::array<double, 2> mostLoad {};
    int bothMoving = 0;
    int reversals = 0;
    for (int tick = 0; tick < 2400; ++tick) {
        const std::array<double, 2>& seen = loads[loads.size() > delay ? loads.size() - 1 - delay : 0];
        const double wave = 0.4 * std::sin(2 * std::numbers::pi * tick * step / period);
        const std::array<double, 2> offered { (0.75 + wave) * slots, (0.75 - wave) * slots };
        std::vector<ZoneCapacity> zones { { ZoneId("a"), 10, slots, seen[0] }, { ZoneId("b"), 10, slots, seen[1] } };
        std::array<double, 2> share {};
        for (std::size_t zone = 0; zone < 2; ++zone) {
            constexpr int draws = 400;
            for (int draw = 0; draw < draws; ++draw)
                share[zone] += chooseZone(zones, zones[zone].zone, (draw + 0.5) / draws, std::chrono::milliseconds(1000)) != zone ? 1.0 / draws : 0;
        }
        std::array<double, 2> load = loads.back();
        for (std::size_t zone = 0; zone < 2; ++zone) {
            const double arriving = offered[zone] * (1 - share[zone]) + offered[1 - zone] * share[1 - zone];
            load[zone] += (arriving - load[zone]) * step / work;
            mostOffered[zone] = std::max(mostOffered[zone], offered[zone]);
            mostLoad[zone] = std::max(mostLoad[zone], load[zone]);
        }
        loads.push_back(load);
        moved.push_back(share);
        bothMoving += share[0] > 0.01 && share[1] > 0.01 ? 1 : 0;
        const std::size_t count = moved.size();
        if (count > 2 && (moved[count - 1][0] - moved[count - 2][0]) * (moved[count - 2][0] - moved[count - 3][0]) < 0)
            ++reversals;
    }
    CHECK(bothMoving == 0);
    // Ten waves: what is moved rises and falls about once in each.
    CHECK(reversals <= 10 * 4);
    for (std::size_t zone = 0; zone < 2; ++zone)
        CHECK(mostLoad[zone] < mostOffered[zone] - 0.08 * slots);
}

TEST_CASE("isFreer, cells of different size, compares load per slot")
{
    CHECK(isFreer({ 60, 20 }, { 30, 15 }));
    CHECK_FALSE(isFreer({ 30, 15 }, { 60, 20 }));
    CHECK_FALSE(isFreer({ 30, 15 }, { 30, 15 }));
}

TEST_CASE("effectiveSlots, slow and fast servers, count in proportion within bounds")
{
    CHECK(effectiveSlots({ 6 }, 1.5) == 4);
    CHECK(effectiveSlots({ 6 }, 50) == 3);
    CHECK(effectiveSlots({ 6 }, 0.01) < 9);
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
