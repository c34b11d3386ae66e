#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace lacewingsail;

namespace {

struct EjectionFixture {
    std::vector<ServerCondition> conditions = std::vector<ServerCondition>(5, condition());

    static ServerCondition condition()
    {
        ServerCondition result;
        result.slots = { 6 };
        return result;
    }

    int count(Standing standing, Percent floor = { 60 }) const
    {
        const auto outcomes = decideEjections(floor, conditions);
        return static_cast<int>(std::count_if(outcomes.begin(), outcomes.end(), [standing](const auto& outcome) { return outcome.standing == standing; }));
    }
};

rc::Gen<ServerCondition> anyCondition()
{
    return rc::gen::exec([] {
        ServerCondition condition;
        condition.slots = { *rc::gen::inRange(1, 9) };
        condition.leaving = *rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } });
        condition.reachable = *rc::gen::weightedElement<bool>({ { 4, true }, { 1, false } });
        condition.warmupShare = { *rc::gen::weightedElement<int>({ { 3, 100 }, { 1, 20 }, { 1, 60 } }) };
        condition.ejected = *rc::gen::arbitrary<bool>();
        condition.ejectionRequested = *rc::gen::arbitrary<bool>();
        condition.returnRequested = *rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } });
        condition.severity = *rc::gen::inRange(0, 10);
        condition.ejectedElsewhere = *rc::gen::arbitrary<bool>();
        return condition;
    });
}

// Invariant of the floor within one snapshot: healthy capacity is at or above the floor, or no ejection reduces it.
bool keepsFloor(Percent floor, const std::vector<ServerCondition>& conditions, const std::vector<EjectionOutcome>& outcomes)
{
    if (healthyCapacity(conditions, outcomes) >= floorCapacity(floor, conditions))
        return true;
    for (std::size_t index = 0; index < conditions.size(); ++index) {
        if (outcomes[index].standing == Standing::Ejected && conditions[index].reachable)
            return false;
    }
    return true;
}

// Makes the outcomes the input of the next decision.
void applyOutcomes(std::vector<ServerCondition>& conditions, const std::vector<EjectionOutcome>& outcomes)
{
    for (std::size_t index = 0; index < conditions.size(); ++index)
        conditions[index].ejected = outcomes[index].standing == Standing::Ejected;
}

} // namespace

TEST_CASE_FIXTURE(EjectionFixture, "ejection, requested for one server, ejects only that one")
{
    conditions[2].ejectionRequested = true;
    const auto outcomes = decideEjections({ 60 }, conditions);
    CHECK(outcomes[2].standing == Standing::Ejected);
    CHECK(count(Standing::Serving) == 4);
}

TEST_CASE_FIXTURE(EjectionFixture, "ejection, requested for all servers, ejects the most severe ones down to the floor")
{
    for (std::size_t index = 0; index < conditions.size(); ++index) {
        conditions[index].ejectionRequested = true;
        conditions[index].severity = static_cast<double>(index);
    }
    const auto outcomes = decideEjections({ 60 }, conditions);
    CHECK(count(Standing::Ejected) == 2);
    CHECK(outcomes[4].standing == Standing::Ejected);
    CHECK(outcomes[3].standing == Standing::Ejected);
    CHECK(outcomes[0].rule == EjectionRule::KeptForFloor);
}

TEST_CASE_FIXTURE(EjectionFixture, "ejection, fewer servers configured, returns the least severe first")
{
    conditions[0].ejected = conditions[1].ejected = true;
    conditions[0].severity = 9;
    conditions[1].severity = 2;
    conditions.pop_back();
    const auto outcomes = decideEjections({ 60 }, conditions);
    CHECK(outcomes[0].standing == Standing::Ejected);
    CHECK(outcomes[1].standing == Standing::Serving);
    CHECK(outcomes[1].rule == EjectionRule::ReturnedForFloor);
}

TEST_CASE_FIXTURE(EjectionFixture, "ejection, other servers in warm-up, counts only their warm-up share")
{
    conditions[0].ejectionRequested = true;
    CHECK(count(Standing::Ejected) == 1);
    conditions[3].warmupShare = conditions[4].warmupShare = { 20 };
    CHECK(count(Standing::Ejected) == 0);
}

TEST_CASE_FIXTURE(EjectionFixture, "ejection, unreachable servers, is allowed because it removes no capacity")
{
    for (auto& condition : conditions)
        condition.reachable = false;
    conditions[0].ejectionRequested = true;
    CHECK(count(Standing::Ejected) == 1);
}

TEST_CASE_FIXTURE(EjectionFixture, "ejection, other hosts announced ejections, counts the union against the floor")
{
    conditions[3].ejectedElsewhere = conditions[4].ejectedElsewhere = true;
    conditions[0].ejectionRequested = true;
    CHECK(decideEjections({ 60 }, conditions)[0].rule == EjectionRule::KeptForFleetFloor);
    conditions[3].ejectionRequested = true;
    CHECK(decideEjections({ 60 }, conditions)[3].standing == Standing::Ejected);
}

TEST_CASE("ejection floor, any conditions, holds in the snapshot")
{
    const bool held = rc::check([] {
        const auto conditions = *rc::gen::container<std::vector<ServerCondition>>(anyCondition());
        const Percent floor { *rc::gen::inRange(0, 101) };
        RC_ASSERT(keepsFloor(floor, conditions, decideEjections(floor, conditions)));
    });
    CHECK(held);
}

TEST_CASE("ejection floor, any sequence with shrinking membership, holds in every snapshot")
{
    const bool held = rc::check([] {
        const Percent floor { *rc::gen::inRange(0, 101) };
        std::vector<ServerCondition> conditions = *rc::gen::container<std::vector<ServerCondition>>(12, anyCondition());
        while (!conditions.empty()) {
            const auto outcomes = decideEjections(floor, conditions);
            RC_ASSERT(keepsFloor(floor, conditions, outcomes));
            applyOutcomes(conditions, outcomes);
            conditions.erase(conditions.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(conditions.size())));
            for (auto& condition : conditions) {
                condition.reachable = *rc::gen::arbitrary<bool>();
                condition.ejectionRequested = *rc::gen::arbitrary<bool>();
            }
        }
    });
    CHECK(held);
}

TEST_CASE("ejection fleet floor, any conditions, no new ejection takes the union below the floor")
{
    const bool held = rc::check([] {
        const auto conditions = *rc::gen::container<std::vector<ServerCondition>>(anyCondition());
        const Percent floor { *rc::gen::inRange(0, 101) };
        const auto outcomes = decideEjections(floor, conditions);
        auto fleetOutcomes = outcomes;
        bool anyNewEjection = false;
        for (std::size_t index = 0; index < conditions.size(); ++index) {
            const bool isNewEjection = outcomes[index].rule == EjectionRule::EjectionRequested && conditions[index].reachable && !conditions[index].ejectedElsewhere;
            anyNewEjection = anyNewEjection || (isNewEjection && conditions[index].slots.value * conditions[index].warmupShare.value > 0);
            if (conditions[index].ejectedElsewhere)
                fleetOutcomes[index].standing = Standing::Ejected;
        }
        if (anyNewEjection)
            RC_ASSERT(healthyCapacity(conditions, fleetOutcomes) >= floorCapacity(floor, conditions));
    });
    CHECK(held);
}
