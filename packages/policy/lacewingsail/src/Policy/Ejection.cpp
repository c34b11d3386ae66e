#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cassert>
#include <numeric>

namespace lacewingsail {

namespace internal {

    constexpr std::int64_t fullShare = 100;

    // Builds the decision: tracks which servers are ejected and how much capacity is left.
    class EjectionPlan {
    public:
        EjectionPlan(Percent floor, std::span<const ServerCondition> conditions)
            : m_conditions(conditions)
            , m_floor(static_cast<std::int64_t>(floorCapacity(floor, conditions)))
            , m_outcomes(conditions.size())
            , m_shares(conditions.size())
        {
            for (std::size_t index = 0; index < conditions.size(); ++index) {
                m_shares[index] = conditions[index].warmupShare.value;
                m_outcomes[index].standing = initialStanding(conditions[index]);
            }
        }

        void applyReturnRequests()
        {
            for (std::size_t index = 0; index < m_conditions.size(); ++index) {
                if (isEjected(index) && m_conditions[index].returnRequested)
                    setOutcome(index, Standing::Serving, EjectionRule::ReturnRequested, initialWarmupShare.value);
            }
        }

        // A server that returns for the floor skips the warm-up: it is not cold, and its full capacity is needed.
        void returnForFloor()
        {
            for (const std::size_t index : bySeverity(false)) {
                if (localHealthyCapacity() >= m_floor)
                    return;
                if (isEjected(index) && m_conditions[index].reachable)
                    setOutcome(index, Standing::Serving, EjectionRule::ReturnedForFloor, fullShare);
            }
        }

        void applyEjectionRequests()
        {
            for (const std::size_t index : bySeverity(true)) {
                if (isServing(index) && m_conditions[index].ejectionRequested)
                    ejectIfFloorAllows(index);
            }
        }

        std::vector<EjectionOutcome> takeOutcomes() && { return std::move(m_outcomes); }

    private:
        static Standing initialStanding(const ServerCondition& condition)
        {
            if (condition.leaving)
                return Standing::Leaving;
            return condition.ejected ? Standing::Ejected : Standing::Serving;
        }

        bool isEjected(std::size_t index) const { return m_outcomes[index].standing == Standing::Ejected; }
        bool isServing(std::size_t index) const { return m_outcomes[index].standing == Standing::Serving; }

        void setOutcome(std::size_t index, Standing standing, EjectionRule rule, std::int64_t share)
        {
            m_outcomes[index] = { standing, rule };
            m_shares[index] = share;
        }

        std::int64_t servingCapacity(std::size_t index) const
        {
            const bool serves = isServing(index) && m_conditions[index].reachable;
            return serves ? m_conditions[index].slots.value * m_shares[index] : 0;
        }

        std::int64_t localHealthyCapacity() const
        {
            std::int64_t sum = 0;
            for (std::size_t index = 0; index < m_conditions.size(); ++index)
                sum += servingCapacity(index);
            return sum;
        }

        std::int64_t fleetHealthyCapacity() const
        {
            std::int64_t sum = 0;
            for (std::size_t index = 0; index < m_conditions.size(); ++index)
                sum += m_conditions[index].ejectedElsewhere ? 0 : servingCapacity(index);
            return sum;
        }

        // The rule of a return also determines the server's warm-up share, so it is not overwritten.
        static void recordRejection(EjectionOutcome& outcome, EjectionRule rule)
        {
            if (outcome.rule == EjectionRule::Unchanged)
                outcome.rule = rule;
        }

        void ejectIfFloorAllows(std::size_t index)
        {
            const std::int64_t capacity = servingCapacity(index);
            EjectionOutcome& outcome = m_outcomes[index];
            if (capacity > 0 && localHealthyCapacity() - capacity < m_floor) {
                recordRejection(outcome, EjectionRule::KeptForFloor);
                return;
            }
            // Ejecting a server that other hosts have already ejected costs the fleet no further capacity.
            if (capacity > 0 && !m_conditions[index].ejectedElsewhere && fleetHealthyCapacity() - capacity < m_floor) {
                recordRejection(outcome, EjectionRule::KeptForFleetFloor);
                return;
            }
            outcome = { Standing::Ejected, EjectionRule::EjectionRequested };
        }

        std::vector<std::size_t> bySeverity(bool mostSevereFirst) const
        {
            std::vector<std::size_t> order(m_conditions.size());
            std::iota(order.begin(), order.end(), std::size_t { 0 });
            std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
                return mostSevereFirst ? m_conditions[left].severity > m_conditions[right].severity : m_conditions[left].severity < m_conditions[right].severity;
            });
            return order;
        }

        const std::span<const ServerCondition> m_conditions;
        const std::int64_t m_floor;
        std::vector<EjectionOutcome> m_outcomes;
        std::vector<std::int64_t> m_shares;
    };

    // Warm-up share after this decision: set for servers that return in it, unchanged for others.
    std::int64_t warmupShareAfter(const ServerCondition& condition, EjectionRule rule)
    {
        if (rule == EjectionRule::ReturnedForFloor)
            return fullShare;
        return rule == EjectionRule::ReturnRequested ? initialWarmupShare.value : condition.warmupShare.value;
    }

} // namespace internal

Capacity floorCapacity(Percent floor, std::span<const ServerCondition> conditions)
{
    std::int64_t slots = 0;
    for (const ServerCondition& condition : conditions)
        slots += condition.slots.value;
    return Capacity { slots * floor.value };
}

Capacity healthyCapacity(std::span<const ServerCondition> conditions, std::span<const EjectionOutcome> outcomes)
{
    assert(conditions.size() == outcomes.size());
    std::int64_t sum = 0;
    for (std::size_t index = 0; index < conditions.size(); ++index) {
        if (outcomes[index].standing == Standing::Serving && conditions[index].reachable)
            sum += conditions[index].slots.value * internal::warmupShareAfter(conditions[index], outcomes[index].rule);
    }
    return Capacity { sum };
}

std::vector<EjectionOutcome> decideEjections(Percent floor, std::span<const ServerCondition> conditions)
{
    internal::EjectionPlan plan(floor, conditions);
    plan.applyReturnRequests();
    plan.returnForFloor();
    plan.applyEjectionRequests();
    return std::move(plan).takeOutcomes();
}

const char* nameOf(EjectionRule rule)
{
    switch (rule) {
    case EjectionRule::Unchanged:
        return "unchanged";
    case EjectionRule::EjectionRequested:
        return "condemned-by-evidence";
    case EjectionRule::ReturnRequested:
        return "cleared-by-probes";
    case EjectionRule::ReturnedForFloor:
        return "returned-for-floor";
    case EjectionRule::KeptForFloor:
        return "kept-for-floor";
    case EjectionRule::KeptForFleetFloor:
        return "kept-for-fleet-floor";
    case EjectionRule::Proposed:
        return "proposed";
    }
    return "";
}

const char* nameOf(Standing standing)
{
    switch (standing) {
    case Standing::Serving:
        return "serving";
    case Standing::Ejected:
        return "ejected";
    case Standing::Leaving:
        return "leaving";
    }
    return "";
}

const char* reversalCondition(Standing standing, EjectionRule rule)
{
    if (standing == Standing::Leaving)
        return "a new configuration of the server, or a pin to serving";
    if (standing == Standing::Ejected)
        return "three consecutive successful probes after the hold, healthy capacity below the floor, or a pin to serving";
    if (rule == EjectionRule::Proposed)
        return "an operator's confirmation, or decay of the evidence";
    if (rule == EjectionRule::KeptForFloor || rule == EjectionRule::KeptForFleetFloor)
        return "more healthy capacity in the service";
    return "new evidence against the server, or a pin to ejected";
}

} // namespace lacewingsail
