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

/// \brief Index of a service in Configuration::services.
enum class ServiceIndex : std::size_t {};

/// \brief Index of a backend server in Service::backendServers.
enum class ServerIndex : std::size_t {};

/// \brief Whether a backend server gets new requests from this host.
enum class Standing : unsigned char {
    Serving,
    Ejected,
    Leaving,
};

/// \brief Load of one backend server as seen by this host. Written by all request threads.
struct BackendServerLoad {
    std::atomic<int> inFlight { 0 };
    /// Smoothed response time, in microseconds.
    std::atomic<std::int64_t> latency { 0 };
    /// Load that the server last reported, including requests of other hosts.
    std::atomic<int> reportedLoad { 0 };
    /// Until then the server gets no request that another server can take, because it shed one. Nanoseconds of the
    /// host's clock.
    std::atomic<std::int64_t> overloadedUntil { 0 };
    /// Set as soon as the server is known to be leaving; also seen by requests that hold an older snapshot.
    std::atomic<bool> leaving { false };
    /// Number of requests that may be sent to the ejected server as probes.
    std::atomic<int> allowedProbes { 0 };
};

/// \brief Limits of the attempts of a service on this host: stall timeout and retry budget.
struct ServiceAttemptLimits {
    /// Time without a received byte after which an attempt counts as stalled, in microseconds; derived from the response
    /// times that this host has measured.
    std::atomic<std::int64_t> stallTimeout { 1'000'000 };
    /// For retries and hedged attempts of all its requests on this host.
    RetryBudget retryBudget;
};

/// \brief Standings and warm-up shares, aligned with the configuration's services and their backend servers.
struct FleetStandings {
    std::vector<std::vector<Standing>> standings;
    /// Share of its normal traffic that each server gets; below 100 percent during warm-up.
    std::vector<std::vector<Percent>> warmupShares;

    bool operator==(const FleetStandings&) const = default;
};

/// \brief A version of the configuration with the lookup tables that requests use.
struct ConfigurationTables {
    ConfigurationVersion version = ConfigurationVersion::None;
    std::shared_ptr<const Configuration> configuration;
    RouteTable routes;
    KeyTable keys;
    std::map<ServiceId, ServiceIndex> services;
};

/// \brief State that the decisions of a request read; immutable, replaced as a whole.
struct FleetSnapshot {
    /// Null until a first configuration is active.
    std::shared_ptr<const ConfigurationTables> tables;
    std::shared_ptr<const WithdrawnKeys> withdrawnKeys;
    /// Whether the withdrawn keys are up to date; null counts as stale.
    std::shared_ptr<const KeyFreshness> keyFreshness;
    /// Aligned with the configuration's services and their backend servers.
    std::vector<std::vector<Standing>> standings;
    std::vector<std::vector<Percent>> warmupShares;
    std::vector<std::vector<std::shared_ptr<BackendServerLoad>>> loads;
    std::vector<std::shared_ptr<ServiceAttemptLimits>> attemptLimits;
};

/// \returns whether the host may have missed withdrawals of keys at \p now.
bool keysAreStale(const FleetSnapshot&, MonotonicTime now);

/// \brief Builds the lookup tables of a configuration. Allocates memory; linear in the size of the configuration.
std::shared_ptr<const ConfigurationTables> makeConfigurationTables(ConfigurationVersion, std::shared_ptr<const Configuration>);

/// \returns standings in which all servers serve except those that the configuration marks as leaving.
FleetStandings configuredStandings(const Configuration&);

/// \returns loads aligned with \p configuration; servers that \p previous contains keep theirs.
/// \param previous null if there was no snapshot.
std::vector<std::vector<std::shared_ptr<BackendServerLoad>>> carryOverLoads(const Configuration& configuration, const FleetSnapshot* previous);

/// \returns limits aligned with \p configuration; services that \p previous contains keep theirs.
/// \param previous null if there was no snapshot.
std::vector<std::shared_ptr<ServiceAttemptLimits>> carryOverAttemptLimits(const Configuration& configuration, const FleetSnapshot* previous);

} // namespace lacewingsail
