#include <lacewingsail/Wire.h>

#include "ConfigurationJson.h"

#include <array>
#include <utility>

namespace lacewingsail {

namespace internal {

    namespace json = boost::json;

    constexpr std::int64_t mostSlots = 10'000;
    constexpr std::int64_t longestDeadlineMilliseconds = 3'600'000;
    constexpr std::int64_t mostTokens = 10'000'000;
    constexpr std::array modeNames { std::pair { "automatic", EjectionMode::Automatic }, std::pair { "propose", EjectionMode::Propose }, std::pair { "off", EjectionMode::Off } };
    constexpr std::array accessNames { std::pair { "keyed", Access::Keyed }, std::pair { "open", Access::Open } };

    template <typename Names, typename Value>
    void readNamed(JsonReader& reader, std::string_view field, const Names& names, Value& value)
    {
        const std::string name = reader.text(field, names.front().first);
        std::string allowed;
        for (const auto& [known, meaning] : names) {
            if (name == known) {
                value = meaning;
                return;
            }
            allowed += allowed.empty() ? known : std::string(", ") + known;
        }
        reader.problem(field, "must be one of " + allowed);
    }

    template <typename Names, typename Value>
    const char* nameOf(const Names& names, Value value)
    {
        for (const auto& [name, meaning] : names) {
            if (meaning == value)
                return name;
        }
        return names.front().first;
    }

    BackendServer readBackendServer(const json::value& value, const std::string& path, Problems& problems)
    {
        JsonReader reader(value, path, problems);
        BackendServer server;
        server.id = BackendServerId(reader.text("name"));
        server.zone = ZoneId(reader.text("zone"));
        if (!parseEndpoint(reader.text("address"), server.endpoint))
            reader.problem("address", "must be an IP number and a port, as in 127.0.0.1:8080");
        server.slots = { static_cast<int>(reader.integer("slots", 1, mostSlots, 6)) };
        server.leaving = reader.boolean("leaving", false);
        reader.finish();
        return server;
    }

    Service readService(const json::value& value, const std::string& path, Problems& problems)
    {
        JsonReader reader(value, path, problems);
        Service service;
        service.id = ServiceId(reader.text("name"));
        reader.array("depends_on", false, [&](const json::value& element, const std::string& elementPath) {
            if (const json::string* name = element.if_string())
                service.dependsOn.emplace_back(std::string(name->data(), name->size()));
            else
                problems.push_back({ elementPath, "must be the name of a service" });
        });
        reader.array("backend_servers", true, [&](const json::value& element, const std::string& elementPath) {
            service.backendServers.push_back(readBackendServer(element, elementPath, problems));
        });
        service.floor = { static_cast<int>(reader.integer("floor_percent", 0, 100, 50)) };
        readNamed(reader, "ejection", modeNames, service.mode);
        reader.finish();
        return service;
    }

    Route readRoute(const json::value& value, const std::string& path, Problems& problems)
    {
        JsonReader reader(value, path, problems);
        Route route;
        route.id = RouteId(reader.text("name"));
        route.method = reader.text("method");
        route.pathPrefix = reader.text("path_prefix");
        if (!route.pathPrefix.empty() && route.pathPrefix.front() != '/')
            reader.problem("path_prefix", "must begin with /");
        route.service = ServiceId(reader.text("service"));
        readNamed(reader, "access", accessNames, route.access);
        route.repeatable = reader.boolean("repeatable", false);
        route.deadline = std::chrono::milliseconds(reader.integer("deadline_ms", 1, longestDeadlineMilliseconds, 2000));
        reader.finish();
        return route;
    }

    Key readKey(const json::value& value, const std::string& path, Problems& problems)
    {
        JsonReader reader(value, path, problems);
        Key key { KeyId(reader.text("id")), reader.text("sha256") };
        const bool isDigest = key.digest.size() == 64 && key.digest.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!isDigest)
            reader.problem("sha256", "must be 64 lower-case hexadecimal digits");
        reader.finish();
        return key;
    }

    ClientAccount readAccount(const json::value& value, const std::string& path, Problems& problems)
    {
        JsonReader reader(value, path, problems);
        ClientAccount account;
        account.id = ClientAccountId(reader.text("name"));
        account.rate = { reader.integer("rate_per_second", 1, mostTokens) };
        account.burst = wholeTokens(reader.integer("burst", 1, mostTokens));
        reader.array("keys", false, [&](const json::value& element, const std::string& elementPath) {
            account.keys.push_back(readKey(element, elementPath, problems));
        });
        reader.finish();
        return account;
    }

    json::object toJson(const BackendServer& server)
    {
        return { { "name", server.id.value() }, { "zone", server.zone.value() }, { "address", text(server.endpoint) },
            { "slots", server.slots.value }, { "leaving", server.leaving } };
    }

    json::object toJson(const Service& service)
    {
        json::array dependsOn;
        for (const ServiceId& dependency : service.dependsOn)
            dependsOn.emplace_back(dependency.value());
        json::array servers;
        for (const BackendServer& server : service.backendServers)
            servers.emplace_back(toJson(server));
        return { { "name", service.id.value() }, { "depends_on", std::move(dependsOn) }, { "backend_servers", std::move(servers) },
            { "floor_percent", service.floor.value }, { "ejection", nameOf(modeNames, service.mode) } };
    }

    json::object toJson(const Route& route)
    {
        return { { "name", route.id.value() }, { "method", route.method }, { "path_prefix", route.pathPrefix },
            { "service", route.service.value() }, { "access", nameOf(accessNames, route.access) },
            { "repeatable", route.repeatable }, { "deadline_ms", route.deadline.count() } };
    }

    json::object toJson(const ClientAccount& account)
    {
        json::array keys;
        for (const Key& key : account.keys)
            keys.emplace_back(json::object { { "id", key.id.value() }, { "sha256", key.digest } });
        return { { "name", account.id.value() }, { "rate_per_second", account.rate.value },
            { "burst", account.burst.value / oneToken.value }, { "keys", std::move(keys) } };
    }

    template <typename Items>
    json::array arrayOf(const Items& items)
    {
        json::array result;
        for (const auto& item : items)
            result.emplace_back(toJson(item));
        return result;
    }

    template <typename Item>
    using ReadItem = Item (*)(const json::value&, const std::string&, Problems&);

    template <typename Item>
    std::vector<Item> readItems(JsonReader& reader, const char* field, bool required, ReadItem<Item> readItem, Problems& problems)
    {
        std::vector<Item> items;
        reader.array(field, required, [&](const json::value& element, const std::string& path) {
            items.push_back(readItem(element, path, problems));
        });
        return items;
    }

    template <typename Item, typename Id>
    ItemEdits<Item, Id> readItemEdits(JsonReader& parent, const char* field, ReadItem<Item> readItem, Problems& problems)
    {
        ItemEdits<Item, Id> edits;
        const json::value* value = parent.field(field, false);
        if (!value)
            return edits;
        JsonReader reader(*value, parent.pathOf(field), problems);
        edits.upserts = readItems<Item>(reader, "upsert", false, readItem, problems);
        reader.array("remove", false, [&](const json::value& element, const std::string& path) {
            if (const json::string* name = element.if_string())
                edits.removals.emplace_back(std::string(name->data(), name->size()));
            else
                problems.push_back({ path, "must be a name" });
        });
        reader.finish();
        return edits;
    }

    template <typename Item, typename Id>
    void addItemEdits(json::object& parent, const char* field, const ItemEdits<Item, Id>& edits)
    {
        if (edits.empty())
            return;
        json::array removals;
        for (const Id& id : edits.removals)
            removals.emplace_back(id.value());
        parent[field] = json::object { { "upsert", arrayOf(edits.upserts) }, { "remove", std::move(removals) } };
    }

    Configuration readConfiguration(const json::value& value, const std::string& path, Problems& problems)
    {
        const std::size_t before = problems.size();
        JsonReader reader(value, path, problems);
        Configuration configuration;
        configuration.services = readItems<Service>(reader, "services", true, readService, problems);
        configuration.routes = readItems<Route>(reader, "routes", true, readRoute, problems);
        configuration.accounts = readItems<ClientAccount>(reader, "accounts", true, readAccount, problems);
        reader.finish();
        checkConfiguration(configuration, problems);
        if (problems.size() != before)
            return {};
        return configuration;
    }

    json::object toJson(const Configuration& configuration)
    {
        return { { "services", arrayOf(configuration.services) }, { "routes", arrayOf(configuration.routes) }, { "accounts", arrayOf(configuration.accounts) } };
    }

    ConfigurationEdits readEdits(const json::value& value, const std::string& path, Problems& problems)
    {
        JsonReader reader(value, path, problems);
        ConfigurationEdits edits;
        edits.services = readItemEdits<Service, ServiceId>(reader, "services", readService, problems);
        edits.routes = readItemEdits<Route, RouteId>(reader, "routes", readRoute, problems);
        edits.accounts = readItemEdits<ClientAccount, ClientAccountId>(reader, "accounts", readAccount, problems);
        reader.finish();
        return edits;
    }

    json::object toJson(const ConfigurationEdits& edits)
    {
        json::object result;
        addItemEdits(result, "services", edits.services);
        addItemEdits(result, "routes", edits.routes);
        addItemEdits(result, "accounts", edits.accounts);
        return result;
    }

} // namespace internal

std::optional<Configuration> parseConfiguration(std::string_view json, Problems& problems)
{
    const std::size_t before = problems.size();
    const auto value = internal::parseJson(json, problems);
    if (!value)
        return std::nullopt;
    Configuration configuration = internal::readConfiguration(*value, "", problems);
    if (problems.size() != before)
        return std::nullopt;
    return configuration;
}

std::string formatConfiguration(const Configuration& configuration) { return boost::json::serialize(internal::toJson(configuration)); }

} // namespace lacewingsail
