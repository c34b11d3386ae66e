#pragma once

#include <lacewingsail/Exchange.h>

#include <optional>
#include <span>

namespace lacewingsail {

/// \brief Runs nothing: for coordinators whose requests don't wait.
class IdleEventLoop final : public EventLoop {
public:
    void post(Handler) override { }
    void after(std::chrono::milliseconds, Handler) override { }
};

/// \brief Asks \p coordinator, and cancels the demand if it would wait. \returns the decision; one without a server for a demand that
/// would wait.
inline std::optional<PlacementDecision> decideAtOnce(PlacementCoordinator& coordinator, const PlacementCell& cell, PlacementDemand demand)
{
    static std::uint64_t nextId = 1'000'000;
    if (demand.placementId == 0)
        demand.placementId = nextId++;
    std::optional<PlacementDecision> decision;
    bool answered = false;
    coordinator.place(cell, demand, [&](const std::optional<PlacementDecision>& answer) {
        decision = answer;
        answered = true;
    });
    if (!answered) {
        const PlacementOutcome cancellation { BackendServerId(), demand.placementId, PlacementStatus::Cancelled, {}, std::nullopt };
        coordinator.recordOutcomes(std::span(&cancellation, 1));
    }
    return decision;
}

} // namespace lacewingsail
