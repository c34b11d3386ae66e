#pragma once

#include "Ids.h"
#include "Machines.h"
#include "Units.h"

#include <chrono>
#include <string>
#include <vector>

namespace lacewingsail {

/// \brief Who decides on ejections of a service's backend servers.
enum class EjectionMode {
    /// The fleet ejects and returns by itself.
    Automatic,
    /// The fleet proposes; an operator confirms.
    Propose,
    /// Nothing is ejected.
    Off,
};

/// \brief What a service promises and what it depends on.
struct Service {
    ServiceId id;
    std::vector<ServiceId> dependsOn;
    std::vector<BackendServer> backendServers;
    /// Share of the service's slots that ejection must leave in place.
    Percent floor { 50 };
    EjectionMode mode = EjectionMode::Automatic;

    bool operator==(const Service&) const = default;
};

/// \brief Whether a route needs a key.
enum class Access {
    Keyed,
    Open,
};

/// \brief Which requests go to which service, and under which rules.
struct Route {
    RouteId id;
    std::string method;
    std::string pathPrefix;
    ServiceId service;
    Access access = Access::Keyed;
    /// Whether the request may run more than once without harm (idempotent).
    bool repeatable = false;
    std::chrono::milliseconds deadline { 2000 };

    bool operator==(const Route&) const = default;
};

/// \brief A key of a client account; only its digest is known to the fleet.
struct Key {
    KeyId id;
    /// SHA-256 of the secret, in lower-case hexadecimal.
    std::string digest;

    bool operator==(const Key&) const = default;
};

/// \brief A tenant, its limits and its keys.
struct ClientAccount {
    ClientAccountId id;
    TokensPerSecond rate;
    MicroTokens burst;
    std::vector<Key> keys;

    bool operator==(const ClientAccount&) const = default;
};

/// \brief The whole text that the operators publish.
struct Configuration {
    std::vector<Service> services;
    std::vector<Route> routes;
    std::vector<ClientAccount> accounts;

    bool operator==(const Configuration&) const = default;
};

} // namespace lacewingsail
