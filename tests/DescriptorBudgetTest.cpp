#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

#include <cstdint>

using namespace lacewingsail;

TEST_CASE("makeDescriptorBudget, limit of a host, keeps a third for the host and shares the rest")
{
    const DescriptorBudget budget = makeDescriptorBudget(4100);
    CHECK(budget.callerConnections == 1367);
    CHECK(budget.backendConnections == 1367);
}

TEST_CASE("makeDescriptorBudget, small limit, keeps more than a third for the host")
{
    const DescriptorBudget budget = makeDescriptorBudget(89);
    CHECK(budget.callerConnections == 24);
    CHECK(budget.backendConnections == 25);
}

TEST_CASE("makeDescriptorBudget, any limit, is within it and serves at least one caller")
{
    for (const std::size_t limit : { std::size_t { 3 }, std::size_t { 10 }, std::size_t { 64 }, std::size_t { 128 }, std::size_t { 1024 }, std::size_t { 1048576 }, static_cast<std::size_t>(UINT64_MAX) }) {
        CAPTURE(limit);
        const DescriptorBudget budget = makeDescriptorBudget(limit);
        CHECK(budget.callerConnections >= 1);
        CHECK(budget.backendConnections >= 1);
        CHECK(budget.callerConnections + budget.backendConnections < limit);
    }
}
