#include "ExchangeMessages.h"

#include <algorithm>
#include <cmath>

namespace lacewingsail::internal {

namespace {

    constexpr double hundredths = 100;

    std::uint32_t toHundredths(double value) { return static_cast<std::uint32_t>(std::llround(std::max(0.0, value) * hundredths)); }

    std::uint32_t milliseconds(Duration duration)
    {
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
    }

} // namespace

void encode(const LiveHost& host, std::chrono::milliseconds age, bool leaving, protocol::GatewayHost& message)
{
    message.set_id(host.id.value());
    message.set_zone(host.zone.value());
    message.set_peers(text(host.peers));
    message.set_age_ms(milliseconds(age));
    message.set_leaving(leaving);
}

std::optional<LiveHost> decode(const protocol::GatewayHost& message)
{
    LiveHost host { HostId(message.id()), ZoneId(message.zone()), {} };
    if (host.id.empty() || !parseEndpoint(message.peers(), host.peers))
        return std::nullopt;
    return host;
}

void encode(const UseOfServers& servers, google::protobuf::RepeatedPtrField<protocol::UseOfServer>& messages)
{
    for (const auto& [id, use] : servers) {
        protocol::UseOfServer& message = *messages.Add();
        message.set_id(id.value());
        message.set_in_flight(toHundredths(use.inFlight));
        message.set_answered(toHundredths(use.answered));
        message.set_failed(toHundredths(use.failed));
        message.set_answer_ms(static_cast<std::uint32_t>(use.answerMilliseconds));
    }
}

UseOfServers decode(const google::protobuf::RepeatedPtrField<protocol::UseOfServer>& messages)
{
    UseOfServers servers;
    for (const protocol::UseOfServer& message : messages)
        servers[BackendServerId(message.id())] = { message.in_flight() / hundredths, message.answered() / hundredths, message.failed() / hundredths, static_cast<double>(message.answer_ms()) };
    return servers;
}

void encode(const ZoneUse& use, MonotonicTime now, protocol::UseOfZone& message)
{
    message.set_zone(use.zone.value());
    message.set_hosts(static_cast<std::uint32_t>(use.hosts));
    message.set_age_ms(milliseconds(now - use.asOf));
    encode(use.servers, *message.mutable_servers());
}

ZoneUse decode(const protocol::UseOfZone& message, MonotonicTime now)
{
    return { ZoneId(message.zone()), message.hosts(), now - std::chrono::milliseconds(message.age_ms()), decode(message.servers()) };
}

void encode(const ServerChange& change, protocol::ServerNews& message)
{
    message.set_id(change.id.value());
    message.set_offset(number(change.offset));
    if (!change.server)
        return;
    message.set_service(change.server->service.value());
    message.set_zone(change.server->zone.value());
    message.set_endpoint(text(change.server->endpoint));
    message.set_slots(static_cast<std::uint32_t>(change.server->slots.value));
    message.set_draining(change.server->draining);
    message.set_warmup_left_ms(milliseconds(change.server->warmupLeft));
    message.set_born_ms(static_cast<std::uint64_t>(change.server->born.count()));
    message.set_heartbeat(change.server->heartbeat);
    message.set_lapsed(change.lapsedFor.has_value());
    message.set_lapsed_for_ms(milliseconds(change.lapsedFor.value_or(Duration::zero())));
}

std::optional<ServerChange> decode(const protocol::ServerNews& message)
{
    ServerChange change { BackendServerId(message.id()), LogOffset { message.offset() }, std::nullopt, std::nullopt };
    if (message.service().empty())
        return change;
    RegisteredServer server;
    server.id = change.id;
    server.service = ServiceId(message.service());
    server.zone = ZoneId(message.zone());
    if (!parseEndpoint(message.endpoint(), server.endpoint))
        return std::nullopt;
    server.slots = SlotCount { static_cast<int>(message.slots()) };
    server.draining = message.draining();
    server.warmupLeft = std::chrono::milliseconds(message.warmup_left_ms());
    server.born = std::chrono::milliseconds(message.born_ms());
    server.heartbeat = message.heartbeat();
    change.server = std::move(server);
    if (message.lapsed())
        change.lapsedFor = std::chrono::milliseconds(message.lapsed_for_ms());
    return change;
}

} // namespace lacewingsail::internal
