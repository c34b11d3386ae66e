#pragma once

#include "Ids.h"
#include "Machines.h"
#include "Units.h"

#include <chrono>
#include <optional>
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
    /// Connections that each backend server takes from all hosts together; 0 if not stated.
    int mostConnections = 0;
    /// What a server that has just started bears while it is cold; 0 if not stated.
    RequestsPerSecond coldRate {};

    bool operator==(const Service&) const = default;
};

/// \brief Whether a route needs a key.
enum class Access {
    Keyed,
    Open,
};

/// \brief A service's part of a route whose requests go to several services.
struct ServiceShare {
    ServiceId service;
    /// Relative to the other parts of the route.
    int weight = 0;

    bool operator==(const ServiceShare&) const = default;
};

/// \brief How urgent a request is: 0 is the most urgent.
struct Priority {
    int value = 0;

    auto operator<=>(const Priority&) const = default;
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
    /// Host name that callers ask for; empty matches any.
    std::string host;
    /// Services that share the requests; empty if all go to \ref service.
    std::vector<ServiceShare> split;
    /// Backend servers to which one request may be sent at most.
    int mostAttempts = 3;
    /// Latency objective; zero if there is none.
    std::chrono::milliseconds targetLatency { 0 };
    Priority priority { 1 };

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
    /// Takes precedence over the priorities of routes.
    std::optional<Priority> priority = std::nullopt;

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
