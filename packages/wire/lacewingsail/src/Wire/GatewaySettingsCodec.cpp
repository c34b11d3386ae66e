#include <lacewingsail/Wire.h>

#include "JsonReader.h"

#include <cmath>

namespace lacewingsail {

namespace internal {

    constexpr double longestBoundSeconds = 86'400;
    constexpr double mostRetrySlack = 1e6;
    constexpr double mostRateSlack = 1e6;
    constexpr double mostColdOvershoot = 1e6;
    constexpr double mostColdSlack = 1e6;
    constexpr double mostProcessorShare = 1024;
    constexpr double minLinkMegabits = 0.1;
    constexpr double maxLinkMegabits = 1e6;

    Endpoint readAddress(JsonReader& reader, std::string_view name)
    {
        Endpoint endpoint;
        const std::string value = reader.text(name);
        if (!value.empty() && !parseEndpoint(value, endpoint))
            reader.problem(name, "must be an IP number and a port, as in 10.0.0.1:80");
        return endpoint;
    }

    std::chrono::milliseconds readSeconds(JsonReader& reader, std::string_view name, std::chrono::milliseconds fallback)
    {
        const double seconds = reader.number(name, 0, longestBoundSeconds, std::chrono::duration<double>(fallback).count());
        return std::chrono::milliseconds(std::llround(seconds * 1000));
    }

    GatewayBounds readBounds(const boost::json::value& value, Problems& problems)
    {
        GatewayBounds bounds;
        JsonReader reader(value, "bounds", problems);
        bounds.drain = readSeconds(reader, "drain", bounds.drain);
        bounds.stopGrace = readSeconds(reader, "stop_grace", bounds.stopGrace);
        bounds.configuration = readSeconds(reader, "configuration", bounds.configuration);
        bounds.retryRatio = reader.number("retry_ratio", 0, 1, bounds.retryRatio);
        bounds.retrySlack = reader.number("retry_slack", 0, mostRetrySlack, bounds.retrySlack);
        bounds.retryWindow = readSeconds(reader, "retry_window", bounds.retryWindow);
        bounds.rateOvershoot = reader.number("rate_overshoot", 0, 1, bounds.rateOvershoot);
        bounds.rateSlack = reader.number("rate_slack", 0, mostRateSlack, bounds.rateSlack);
        bounds.rateWindow = readSeconds(reader, "rate_window", bounds.rateWindow);
        bounds.floorShare = reader.number("floor_share", 0, 1, bounds.floorShare);
        bounds.coldOvershoot = reader.number("cold_overshoot", 0, mostColdOvershoot, bounds.coldOvershoot);
        bounds.coldSlack = reader.number("cold_slack", 0, mostColdSlack, bounds.coldSlack);
        reader.finish();
        return bounds;
    }

    void readSeeds(JsonReader& reader, std::vector<Endpoint>& seeds)
    {
        reader.array("seeds", false, [&](const boost::json::value& value, const std::string&) {
            Endpoint endpoint;
            const boost::json::string* string = value.if_string();
            if (string && parseEndpoint(std::string(string->data(), string->size()), endpoint))
                seeds.push_back(endpoint);
            else
                reader.problem("seeds", "must hold IP numbers with ports");
        });
    }

} // namespace internal

std::optional<GatewaySettings> parseGatewaySettings(std::string_view json, Problems& problems)
{
    const std::size_t before = problems.size();
    const auto value = internal::parseJson(json, problems);
    if (!value)
        return std::nullopt;
    internal::JsonReader reader(*value, "", problems);
    GatewaySettings settings;
    settings.id = HostId(reader.text("host"));
    settings.zone = ZoneId(reader.text("zone"));
    settings.callers = internal::readAddress(reader, "callers");
    settings.readiness = internal::readAddress(reader, "readiness");
    settings.operators = internal::readAddress(reader, "operators");
    settings.peers = internal::readAddress(reader, "peers");
    settings.store = internal::readAddress(reader, "store");
    internal::readSeeds(reader, settings.seeds);
    // A seed is named by its address for operators; hosts talk to each other on the port that all have in common.
    for (Endpoint& seed : settings.seeds)
        seed.port = settings.peers.port;
    settings.processorShare = reader.number("processor_share", 0, internal::mostProcessorShare, settings.processorShare);
    settings.linkMegabitsPerSecond = reader.number("link_mbps", internal::minLinkMegabits, internal::maxLinkMegabits, settings.linkMegabitsPerSecond);
    settings.serverHeartbeat = internal::readSeconds(reader, "server_heartbeat", settings.serverHeartbeat);
    if (const auto* bounds = reader.field("bounds", false))
        settings.bounds = internal::readBounds(*bounds, problems);
    reader.finish();
    if (problems.size() != before)
        return std::nullopt;
    return settings;
}

} // namespace lacewingsail
