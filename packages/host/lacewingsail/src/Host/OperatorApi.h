#pragma once

#include "EjectionApi.h"

#include <lacewingsail/ConfigurationSync.h>
#include <lacewingsail/Http.h>
#include <lacewingsail/Membership.h>
#include <lacewingsail/Observe.h>
#include <lacewingsail/Proxy.h>
#include <lacewingsail/World.h>

#include <atomic>

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

/// \brief Answers the operators' requests: health, readiness and metrics to anyone, the rest with the fleet secret.
class OperatorApi {
public:
    explicit OperatorApi(const OperatorView&);

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
};

} // namespace lacewingsail
