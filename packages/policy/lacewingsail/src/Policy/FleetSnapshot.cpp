#include <lacewingsail/Policy.h>

#include <cassert>

namespace lacewingsail {

namespace internal {

    using ServerKey = std::pair<ServiceId, BackendServerId>;

    std::map<ServerKey, std::shared_ptr<BackendServerLoad>> loadsByServer(const FleetSnapshot* snapshot)
    {
        std::map<ServerKey, std::shared_ptr<BackendServerLoad>> result;
        if (!snapshot || !snapshot->tables)
            return result;
        const auto& services = snapshot->tables->configuration->services;
        for (std::size_t service = 0; service < services.size(); ++service) {
            for (std::size_t server = 0; server < services[service].backendServers.size(); ++server)
                result.emplace(ServerKey { services[service].id, services[service].backendServers[server].id }, snapshot->loads[service][server]);
        }
        return result;
    }

} // namespace internal

bool keysAreStale(const FleetSnapshot& snapshot, MonotonicTime now) { return !snapshot.keyFreshness || snapshot.keyFreshness->isStale(now); }

std::shared_ptr<const ConfigurationTables> makeConfigurationTables(ConfigurationVersion version, std::shared_ptr<const Configuration> configuration)
{
    assert(configuration);
    auto tables = std::make_shared<ConfigurationTables>();
    tables->version = version;
    tables->routes = makeRouteTable(configuration->routes);
    tables->keys = makeKeyTable(configuration->accounts);
    for (std::size_t index = 0; index < configuration->services.size(); ++index)
        tables->services.emplace(configuration->services[index].id, ServiceIndex { index });
    tables->configuration = std::move(configuration);
    return tables;
}

FleetStandings configuredStandings(const Configuration& configuration)
{
    constexpr Percent fullShare { 100 };
    FleetStandings result;
    for (const Service& service : configuration.services) {
        auto& row = result.standings.emplace_back();
        for (const BackendServer& server : service.backendServers)
            row.push_back(server.leaving ? Standing::Leaving : Standing::Serving);
        result.warmupShares.emplace_back(service.backendServers.size(), fullShare);
    }
    return result;
}

std::vector<std::vector<std::shared_ptr<BackendServerLoad>>> carryOverLoads(const Configuration& configuration, const FleetSnapshot* previous)
{
    auto known = internal::loadsByServer(previous);
    std::vector<std::vector<std::shared_ptr<BackendServerLoad>>> loads;
    for (const Service& service : configuration.services) {
        auto& row = loads.emplace_back();
        for (const BackendServer& server : service.backendServers) {
            auto& load = known[{ service.id, server.id }];
            row.push_back(load ? load : std::make_shared<BackendServerLoad>());
        }
    }
    return loads;
}

std::vector<std::shared_ptr<ServiceAttemptLimits>> carryOverAttemptLimits(const Configuration& configuration, const FleetSnapshot* previous)
{
    std::vector<std::shared_ptr<ServiceAttemptLimits>> attemptLimits;
    for (const Service& service : configuration.services) {
        std::shared_ptr<ServiceAttemptLimits> limits;
        if (previous && previous->tables) {
            const auto found = previous->tables->services.find(service.id);
            if (found != previous->tables->services.end())
                limits = previous->attemptLimits[static_cast<std::size_t>(found->second)];
        }
        attemptLimits.push_back(limits ? limits : std::make_shared<ServiceAttemptLimits>());
    }
    return attemptLimits;
}

} // namespace lacewingsail
