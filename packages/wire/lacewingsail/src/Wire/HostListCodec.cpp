#include <lacewingsail/Wire.h>

#include "JsonReader.h"

namespace lacewingsail {

namespace json = boost::json;

namespace internal {

    Host readHost(const json::value& value, const std::string& path, Problems& problems)
    {
        JsonReader reader(value, path, problems);
        Host host;
        host.id = HostId(reader.text("host"));
        host.zone = ZoneId(reader.text("zone"));
        const auto endpoint = [&](const char* name, Endpoint& result) {
            if (!parseEndpoint(reader.text(name), result))
                reader.problem(name, "must be an IP number and a port");
        };
        endpoint("callers", host.callers);
        endpoint("operators", host.operators);
        endpoint("peers", host.peers);
        host.leaving = reader.boolean("leaving", false);
        reader.finish();
        return host;
    }

} // namespace internal

std::optional<std::vector<Host>> parseHostList(std::string_view text, Problems& problems)
{
    const std::size_t before = problems.size();
    const auto value = internal::parseJson(text, problems);
    if (!value)
        return std::nullopt;
    std::vector<Host> hosts;
    internal::JsonReader reader(*value, "", problems);
    reader.array("hosts", true, [&](const json::value& element, const std::string& path) {
        hosts.push_back(internal::readHost(element, path, problems));
    });
    reader.finish();
    if (problems.size() != before)
        return std::nullopt;
    return hosts;
}

std::string formatHostList(const std::vector<Host>& hosts)
{
    json::array list;
    for (const Host& host : hosts) {
        list.emplace_back(json::object { { "host", host.id.value() }, { "zone", host.zone.value() }, { "callers", text(host.callers) },
            { "operators", text(host.operators) }, { "peers", text(host.peers) }, { "leaving", host.leaving } });
    }
    return json::serialize(json::object { { "hosts", std::move(list) } });
}

} // namespace lacewingsail
