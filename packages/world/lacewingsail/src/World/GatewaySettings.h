#pragma once

#include "Ids.h"
#include "Machines.h"

#include <chrono>
#include <vector>

namespace lacewingsail {

/// \brief Bounds that the operators hold the fleet to.
struct GatewayBounds {
    /// Until when a leaving backend server must get no new work, counted from its announcement.
    std::chrono::milliseconds drain { 2000 };
    /// Time between SIGTERM and SIGKILL.
    std::chrono::milliseconds stopGrace { 6000 };
    /// Until when a new configuration must be in force.
    std::chrono::milliseconds configuration { 2000 };
    /// Further attempts of a service's requests, as a share of its requests.
    double retryRatio = 0.2;
    /// Further attempts beyond that share in each window, summed over all hosts.
    double retrySlack = 60;
    std::chrono::milliseconds retryWindow { 10'000 };
    /// What an account may exceed its rate and burst by in each window, as a share of them and as requests beyond that share,
    /// summed over all hosts.
    double rateOvershoot = 0.1;
    double rateSlack = 20;
    std::chrono::milliseconds rateWindow { 5000 };
    /// Share of a service's sound backend servers that must stay in use.
    double floorShare = 0.7;
    /// What a cold server may get in one second from all hosts: its service's cold rate times this factor, and requests beyond.
    double coldOvershoot = 1;
    double coldSlack = 0;

    bool operator==(const GatewayBounds&) const = default;
};

/// \brief What the process of a gateway host learns from its settings file.
struct GatewaySettings {
    HostId id;
    ZoneId zone;
    Endpoint callers;
    Endpoint readiness;
    Endpoint operators;
    Endpoint peers;
    /// The platform's store.
    Endpoint store;
    /// Hosts to ask while the store is away.
    std::vector<Endpoint> seeds;
    GatewayBounds bounds;
    /// What the host has of a processor core, 0 to any number: hosts with more are preferred as relays.
    double processorShare = 1;
    /// Bandwidth of the host's network link.
    double linkMegabitsPerSecond = 10;
    /// Interval at which backend servers renew their registration.
    std::chrono::milliseconds serverHeartbeat { 1500 };

    bool operator==(const GatewaySettings&) const = default;
};

} // namespace lacewingsail
