#include <lacewingsail/Wire.h>

#include <map>
#include <set>
#include <tuple>

namespace lacewingsail {

namespace {

    std::string at(const char* array, std::size_t index, const char* field = "")
    {
        return std::string(array) + '[' + std::to_string(index) + ']' + field;
    }

    template <typename Name>
    void noteName(std::set<Name>& seen, const Name& name, const std::string& path, Problems& problems)
    {
        if (!seen.insert(name).second)
            problems.push_back({ path, "is used twice" });
    }

    using Dependencies = std::map<ServiceId, const Service*>;

    bool reaches(const Dependencies& services, const ServiceId& from, const ServiceId& target, std::set<ServiceId>& visited)
    {
        const auto found = services.find(from);
        if (found == services.end() || !visited.insert(from).second)
            return false;
        for (const ServiceId& next : found->second->dependsOn) {
            if (next == target || reaches(services, next, target, visited))
                return true;
        }
        return false;
    }

    int servingSlots(const Service& service)
    {
        int slots = 0;
        for (const BackendServer& server : service.backendServers)
            slots += server.leaving ? 0 : server.slots.value;
        return slots;
    }

    int allSlots(const Service& service)
    {
        int slots = 0;
        for (const BackendServer& server : service.backendServers)
            slots += server.slots.value;
        return slots;
    }

    void checkService(const Service& service, std::size_t index, const Dependencies& services, Problems& problems)
    {
        std::set<BackendServerId> names;
        std::set<Endpoint> endpoints;
        for (std::size_t server = 0; server < service.backendServers.size(); ++server) {
            const std::string path = at("services", index, ".") + at("backend_servers", server, "");
            noteName(names, service.backendServers[server].id, path + ".name", problems);
            noteName(endpoints, service.backendServers[server].endpoint, path + ".address", problems);
        }
        for (std::size_t dependency = 0; dependency < service.dependsOn.size(); ++dependency) {
            if (!services.contains(service.dependsOn[dependency]))
                problems.push_back({ at("services", index, ".") + at("depends_on", dependency), "names no service" });
        }
        std::set<ServiceId> visited;
        if (reaches(services, service.id, service.id, visited))
            problems.push_back({ at("services", index, ".depends_on"), "leads back to the service itself" });
        if (service.backendServers.empty())
            problems.push_back({ at("services", index, ".backend_servers"), "must not be empty" });
        else if (servingSlots(service) * 100 < service.floor.value * allSlots(service))
            problems.push_back({ at("services", index, ".floor_percent"), "cannot be kept: the servers that are not leaving have fewer slots" });
    }

    void checkServices(const Configuration& configuration, Problems& problems)
    {
        Dependencies services;
        std::set<ServiceId> names;
        for (std::size_t index = 0; index < configuration.services.size(); ++index) {
            noteName(names, configuration.services[index].id, at("services", index, ".name"), problems);
            services.emplace(configuration.services[index].id, &configuration.services[index]);
        }
        for (std::size_t index = 0; index < configuration.services.size(); ++index)
            checkService(configuration.services[index], index, services, problems);
    }

    void checkRoutes(const Configuration& configuration, Problems& problems)
    {
        std::set<ServiceId> services;
        for (const Service& service : configuration.services)
            services.insert(service.id);
        std::set<RouteId> names;
        std::set<std::tuple<std::string, std::string>> patterns;
        for (std::size_t index = 0; index < configuration.routes.size(); ++index) {
            const Route& route = configuration.routes[index];
            noteName(names, route.id, at("routes", index, ".name"), problems);
            noteName(patterns, std::tuple { route.method, route.pathPrefix }, at("routes", index, ".path_prefix"), problems);
            if (!services.contains(route.service))
                problems.push_back({ at("routes", index, ".service"), "names no service" });
        }
    }

    void checkAccounts(const Configuration& configuration, Problems& problems)
    {
        std::set<ClientAccountId> names;
        std::set<KeyId> keys;
        std::set<std::string> digests;
        for (std::size_t index = 0; index < configuration.accounts.size(); ++index) {
            const ClientAccount& account = configuration.accounts[index];
            noteName(names, account.id, at("accounts", index, ".name"), problems);
            for (std::size_t key = 0; key < account.keys.size(); ++key) {
                const std::string path = at("accounts", index, ".") + at("keys", key);
                noteName(keys, account.keys[key].id, path + ".id", problems);
                noteName(digests, account.keys[key].digest, path + ".sha256", problems);
            }
        }
    }

} // namespace

bool checkConfiguration(const Configuration& configuration, Problems& problems)
{
    const std::size_t before = problems.size();
    checkServices(configuration, problems);
    checkRoutes(configuration, problems);
    checkAccounts(configuration, problems);
    return problems.size() == before;
}

} // namespace lacewingsail
