#pragma once

#include "Keys.h"
#include "RetryBudget.h"
#include "RouteTable.h"

#include <lacewingsail/World.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace lacewingsail {

/// \brief Position of a service in Configuration::services.
enum class ServiceIndex : std::size_t {};

/// \brief Position of a backend server in Service::backendServers.
enum class ServerIndex : std::size_t {};

/// \brief Whether a backend server gets new work from this host.
enum class Standing : unsigned char {
    Serving,
    Ejected,
    Leaving,
};

/// \brief What this host has under way with one backend server. Written by all request threads.
struct BackendServerLoad {
    std::atomic<int> inFlight { 0 };
    /// Smoothed time to answer, in microseconds.
    std::atomic<std::int64_t> latency { 0 };
    /// Requests that the server last said it has, those of other hosts included.
    std::atomic<int> reportedLoad { 0 };
    /// Until then the server gets no request that another one can take, since it shed one. Nanoseconds of the host's clock.
    std::atomic<std::int64_t> overloadedUntil { 0 };
    /// Set as soon as anything says that the server is leaving; requests that hold an older snapshot see it too.
    std::atomic<bool> leaving { false };
    /// Requests that may go to the server although it is ejected, to try it.
    std::atomic<int> allowedProbes { 0 };
};

/// \brief What a service usually needs, as this host measures it, and the further attempts that it may cost.
struct ServiceAttemptLimits {
    /// Time without a byte after which an attempt counts as stalled, in microseconds.
    std::atomic<std::int64_t> stallTimeout { 1'000'000 };
    /// Retries and hedges of all its requests on this host.
    RetryBudget retryBudget;
};

/// \brief Standings and ramps, aligned with the configuration's services and their backend servers.
struct FleetStandings {
    std::vector<std::vector<Standing>> standings;
    /// Share of its usual work that each server gets: less than the whole while it warms up.
    std::vector<std::vector<Percent>> warmupShares;

    bool operator==(const FleetStandings&) const = default;
};

/// \brief A version of the configuration with the tables that requests look things up in.
struct ConfigurationTables {
    ConfigurationVersion version = ConfigurationVersion::None;
    std::shared_ptr<const Configuration> configuration;
    RouteTable routes;
    KeyTable keys;
    std::map<ServiceId, ServiceIndex> services;
};

/// \brief All that a request's decisions read: immutable, replaced as a whole.
struct FleetSnapshot {
    /// Null until a first configuration is in force.
    std::shared_ptr<const ConfigurationTables> tables;
    std::shared_ptr<const WithdrawnKeys> withdrawnKeys;
    /// Whether the withdrawn keys can still be trusted; null counts as "no".
    std::shared_ptr<const KeyFreshness> keyFreshness;
    /// Aligned with the configuration's services and their backend servers.
    std::vector<std::vector<Standing>> standings;
    std::vector<std::vector<Percent>> warmupShares;
    std::vector<std::vector<std::shared_ptr<BackendServerLoad>>> loads;
    std::vector<std::shared_ptr<ServiceAttemptLimits>> attemptLimits;
};

/// \returns whether the host may have missed withdrawals at \p now.
bool keysAreStale(const FleetSnapshot&, MonotonicTime now);

/// \brief Indexes a configuration. Allocates; the cost is linear in its size.
std::shared_ptr<const ConfigurationTables> makeConfigurationTables(ConfigurationVersion, std::shared_ptr<const Configuration>);

/// \returns standings in which only what the configuration marks as leaving is not serving.
FleetStandings configuredStandings(const Configuration&);

/// \brief Loads aligned with \p configuration; servers that were in \p before keep theirs.
/// \param before null if there was no snapshot.
std::vector<std::vector<std::shared_ptr<BackendServerLoad>>> carryOverLoads(const Configuration& configuration, const FleetSnapshot* before);

/// \brief Timings aligned with \p configuration; services that were in \p before keep theirs.
/// \param before null if there was no snapshot.
std::vector<std::shared_ptr<ServiceAttemptLimits>> carryOverAttemptLimits(const Configuration& configuration, const FleetSnapshot* before);

} // namespace lacewingsail
