#pragma once

#include "EjectionApi.h"

#include <lacewingsail/ConfigurationSync.h>
#include <lacewingsail/Http.h>
#include <lacewingsail/Membership.h>
#include <lacewingsail/Observe.h>
#include <lacewingsail/Proxy.h>
#include <lacewingsail/World.h>

#include <atomic>
#include <functional>
#include <utility>
#include <vector>

namespace lacewingsail {

/// \brief What an OperatorApi shows and acts on. All must outlive it.
struct OperatorView {
    const HostSettings& settings;
    const Clock& clock;
    const SnapshotCell& snapshot;
    ConfigurationState& configuration;
    const FleetMembership& membership;
    const Metrics& metrics;
    Journal& journal;
    const std::atomic<bool>& draining;
    const EjectionApi& ejections;
};

/// \brief The limit slots as a host sees them.
struct SlotsInUse {
    IncarnationId incarnation;
    /// Those that this host may use.
    HeldSlots held;
    /// Who holds which, by the records of the log read so far.
    std::vector<SlotState> slots;
};

/// \brief Answers the operators' requests: health, readiness and metrics to anyone, the rest with the fleet secret.
class OperatorApi {
public:
    explicit OperatorApi(const OperatorView&);

    /// \brief Sets where the slots come from; to be called before any request is answered.
    void showSlots(std::function<SlotsInUse()> slots) { m_slots = std::move(slots); }

    /// \brief Sets what else must hold before the host calls itself ready.
    void readyIf(std::function<bool()> condition) { m_readyIf = std::move(condition); }

    HttpResponse answer(const HttpRequest&) const;

private:
    HttpResponse answerOperator(const HttpRequest&) const;
    HttpResponse status() const;
    HttpResponse journal(const HttpRequest&) const;
    HttpResponse withdraw(const HttpRequest&) const;
    HttpResponse withdrawals() const;
    HttpResponse configuration() const;
    HttpResponse drain() const;
    bool isOperator(const HttpRequest&) const;

    const OperatorView m_view;
    std::function<SlotsInUse()> m_slots;
    std::function<bool()> m_readyIf;
};

} // namespace lacewingsail
