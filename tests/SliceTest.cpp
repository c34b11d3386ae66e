#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace lacewingsail;

namespace {

ClientAccount accountWith(std::int64_t rate, std::int64_t burst)
{
    return { ClientAccountId("norrland"), { rate }, wholeTokens(burst), {} };
}

std::vector<HeldSlot> allSlots(std::uint32_t count)
{
    std::vector<HeldSlot> slots;
    for (std::uint32_t index = 0; index < count; ++index)
        slots.push_back({ SlotIndex { index }, true, {} });
    return slots;
}

} // namespace

TEST_CASE("slicesForSlots, any limit and number of slots, add up to exactly the limit")
{
    CHECK(rc::check("sum of the slices", [] {
        const auto count = *rc::gen::inRange<std::uint32_t>(1, 200);
        const ClientAccount account = accountWith(*rc::gen::inRange<std::int64_t>(1, 10'000'000), *rc::gen::inRange<std::int64_t>(1, 10'000'000));
        const Slice sum = sumSlices(slicesForSlots(account, allSlots(count), count));
        RC_ASSERT(sum.burst == account.burst);
        RC_ASSERT(sum.rate.value == account.rate.value * oneToken.value);
    }));
}

TEST_CASE("slicesForSlots, limit grows, no slice shrinks")
{
    CHECK(rc::check("slices grow with the limit", [] {
        const auto count = *rc::gen::inRange<std::uint32_t>(1, 100);
        const auto rate = *rc::gen::inRange<std::int64_t>(1, 1000);
        const auto burst = *rc::gen::inRange<std::int64_t>(1, 1000);
        const auto before = slicesForSlots(accountWith(rate, burst), allSlots(count), count);
        const auto after = slicesForSlots(accountWith(rate + *rc::gen::inRange<std::int64_t>(0, 50), burst + *rc::gen::inRange<std::int64_t>(0, 200)), allSlots(count), count);
        for (std::size_t index = 0; index < before.size(); ++index) {
            RC_ASSERT(before[index].burst <= after[index].burst);
            RC_ASSERT(before[index].rate <= after[index].rate);
        }
    }));
}

TEST_CASE("slice bucket, refilled in any steps, holds the same as after one refill")
{
    CHECK(rc::check("steps of a refill", [] {
        const Slice slice { wholeTokens(5), { *rc::gen::inRange<std::int64_t>(1, 3'000'000) } };
        SliceBucket steps { slice, {}, {}, 0 };
        SliceBucket once = steps;
        MonotonicTime now {};
        for (const auto step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5000))) {
            now += std::chrono::microseconds(step);
            refillUntil(steps, now);
        }
        refillUntil(once, now);
        RC_ASSERT(steps.available == once.available);
    }));
}

TEST_CASE("slice bucket, maximum limits and a long pause, is exactly full")
{
    SliceBucket bucket { { wholeTokens(10'000'000), { 10'000'000 * oneToken.value } }, {}, {}, 0 };
    refillUntil(bucket, MonotonicTime {} + std::chrono::hours(24 * 365));
    CHECK(bucket.available == wholeTokens(10'000'000));
}

TEST_CASE("tokensIfUnused, slot taken over from another host, starts empty and fills at its rate")
{
    const MonotonicTime start {};
    const std::vector<HeldSlot> slots { { SlotIndex { 0 }, true, start }, { SlotIndex { 1 }, false, start } };
    const std::vector<Slice> slices { { wholeTokens(3), { oneToken.value } }, { wholeTokens(3), { oneToken.value } } };
    CHECK(tokensIfUnused(slots, slices, start) == wholeTokens(3));
    CHECK(tokensIfUnused(slots, slices, start + std::chrono::seconds(2)) == wholeTokens(5));
    CHECK(tokensIfUnused(slots, slices, start + std::chrono::hours(1)) == wholeTokens(6));
}
