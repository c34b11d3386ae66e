#include "ExchangeCodec.h"

#include <lacewingsail/Observe.h>

#include <algorithm>
#include <cmath>

namespace lacewingsail::internal {

namespace {

    std::uint32_t toHundredths(double value) { return static_cast<std::uint32_t>(std::llround(std::max(0.0, value) * hundredths)); }

    std::uint32_t milliseconds(Duration duration)
    {
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
    }

    protocol::PlacementOutcome::End encode(PlacementStatus status)
    {
        switch (status) {
        case PlacementStatus::Succeeded:
            return protocol::PlacementOutcome::SERVED;
        case PlacementStatus::Failed:
            return protocol::PlacementOutcome::FAILED;
        case PlacementStatus::Refused:
            return protocol::PlacementOutcome::REFUSED;
        case PlacementStatus::Unreachable:
            return protocol::PlacementOutcome::UNREACHED;
        case PlacementStatus::Cancelled:
            break;
        }
        return protocol::PlacementOutcome::VOID;
    }

} // namespace

void encode(const FleetDirectory::Entry& entry, MonotonicTime now, protocol::GatewayHost& message)
{
    message.set_id(entry.host.id.value());
    message.set_zone(entry.host.zone.value());
    message.set_peers(text(entry.host.peerEndpoint));
    message.set_age_ms(milliseconds(now - entry.lastAliveAt));
    message.set_leaving(entry.leaving);
    if (entry.startedAt != MonotonicTime {})
        message.set_uptime_ms(milliseconds(entry.lastAliveAt - entry.startedAt));
    message.set_processor_percent(toHundredths(entry.host.processorShare));
}

std::optional<FleetDirectory::Entry> decode(const protocol::GatewayHost& message, MonotonicTime now)
{
    FleetDirectory::Entry entry;
    entry.host = { HostId(message.id()), ZoneId(message.zone()), {}, message.processor_percent() / hundredths };
    if (!isValidName(message.id()) || !isValidName(message.zone()) || !parseEndpoint(message.peers(), entry.host.peerEndpoint))
        return std::nullopt;
    entry.lastAliveAt = now - std::chrono::milliseconds(message.age_ms());
    if (message.has_uptime_ms())
        entry.startedAt = entry.lastAliveAt - std::chrono::milliseconds(message.uptime_ms());
    entry.leaving = message.leaving();
    return entry;
}

void encode(const FleetSize& size, MonotonicTime now, protocol::GatewayHost& message)
{
    message.set_fleet_size(static_cast<std::uint32_t>(size.hosts));
    message.set_fleet_size_age_ms(milliseconds(now - size.asOf));
}

std::optional<FleetSize> decodeFleetSize(const protocol::GatewayHost& message, MonotonicTime now)
{
    if (!message.has_fleet_size() || !isValidFleetSize(message.fleet_size()))
        return std::nullopt;
    return FleetSize { message.fleet_size(), now - std::chrono::milliseconds(message.fleet_size_age_ms()) };
}

void encode(const ServerStatsMap& servers, google::protobuf::RepeatedPtrField<protocol::UseOfServer>& messages)
{
    for (const auto& [id, stats] : servers) {
        protocol::UseOfServer& message = *messages.Add();
        message.set_id(id.value());
        message.set_in_flight(toHundredths(stats.inFlight));
        message.set_answered(toHundredths(stats.answered));
        message.set_failed(toHundredths(stats.failed));
        message.set_answer_ms(static_cast<std::uint32_t>(stats.totalAnswerMs));
    }
}

ServerStatsMap decode(const google::protobuf::RepeatedPtrField<protocol::UseOfServer>& messages)
{
    ServerStatsMap servers;
    for (const protocol::UseOfServer& message : messages)
        servers[BackendServerId(message.id())] = { message.in_flight() / hundredths, message.answered() / hundredths, message.failed() / hundredths, static_cast<double>(message.answer_ms()) };
    return servers;
}

void encode(const ZoneStats& stats, MonotonicTime now, protocol::UseOfZone& message)
{
    message.set_zone(stats.zone.value());
    message.set_hosts(static_cast<std::uint32_t>(stats.hosts));
    message.set_age_ms(milliseconds(now - stats.asOf));
    encode(stats.servers, *message.mutable_servers());
}

ZoneStats decode(const protocol::UseOfZone& message, MonotonicTime now)
{
    return { ZoneId(message.zone()), message.hosts(), now - std::chrono::milliseconds(message.age_ms()), decode(message.servers()) };
}

void encode(const ServerChange& change, StoreEra era, protocol::ServerNews& message)
{
    message.set_id(change.id.value());
    message.set_offset(number(change.position.offset));
    if (change.position.era != era)
        message.set_era(number(change.position.era));
    const RegistrationStamp stamp = change.server ? change.server->stamp() : change.lastStamp;
    message.set_born_ms(static_cast<std::uint64_t>(stamp.startedAt.count()));
    message.set_heartbeat(stamp.heartbeat);
    if (!change.server)
        return;
    message.set_service(change.server->service.value());
    message.set_zone(change.server->zone.value());
    message.set_endpoint(text(change.server->endpoint));
    message.set_slots(static_cast<std::uint32_t>(change.server->slots.value));
    message.set_draining(change.server->draining);
    message.set_warmup_left_ms(milliseconds(change.server->warmupLeft));
    message.set_lapsed(change.expiredFor.has_value());
    message.set_lapsed_for_ms(milliseconds(change.expiredFor.value_or(Duration::zero())));
}

std::optional<ServerChange> decode(const protocol::ServerNews& message, StoreEra era)
{
    if (!isValidName(message.id()))
        return std::nullopt;
    const StorePosition position { message.has_era() ? StoreEra { message.era() } : era, LogOffset { message.offset() } };
    ServerChange change { BackendServerId(message.id()), position, std::nullopt, std::nullopt };
    const RegistrationStamp stamp { std::chrono::milliseconds(message.born_ms()), message.heartbeat() };
    if (message.service().empty()) {
        change.lastStamp = stamp;
        return change;
    }
    RegisteredServer server;
    server.id = change.id;
    server.service = ServiceId(message.service());
    server.zone = ZoneId(message.zone());
    if (!parseEndpoint(message.endpoint(), server.endpoint))
        return std::nullopt;
    server.slots = SlotCount { static_cast<int>(message.slots()) };
    server.draining = message.draining();
    server.warmupLeft = std::chrono::milliseconds(message.warmup_left_ms());
    server.startedAt = stamp.startedAt;
    server.heartbeat = stamp.heartbeat;
    if (const auto field = invalidField(server)) {
        log(Event("server-record-malformed").with("server", server.id).with("reason", *field));
        return change;
    }
    change.server = std::move(server);
    if (message.lapsed())
        change.expiredFor = std::chrono::milliseconds(message.lapsed_for_ms());
    return change;
}

void encode(const ZoneEvacuation& evacuation, protocol::ZoneEvacuation& message)
{
    message.set_zone(evacuation.zone.value());
    message.set_offset(number(evacuation.position.offset));
    message.set_era(number(evacuation.position.era));
    message.set_ended(evacuation.ended);
}

std::optional<ZoneEvacuation> decode(const protocol::ZoneEvacuation& message)
{
    if (!isValidName(message.zone()))
        return std::nullopt;
    return ZoneEvacuation { ZoneId(message.zone()), { StoreEra { message.era() }, LogOffset { message.offset() } }, message.ended() };
}

void encode(const PlacementCell& cell, const PlacementDemand& demand, protocol::PlacementDemand& message)
{
    message.mutable_cell()->set_service(cell.service.value());
    message.mutable_cell()->set_zone(cell.zone.value());
    message.mutable_cell()->set_index(cell.index);
    message.mutable_cell()->set_count(cell.count);
    for (const BackendServerId& id : demand.excludedServers)
        message.add_excluded(id.value());
    message.set_objective_ms(milliseconds(demand.latencyObjective));
    message.set_term_ms(milliseconds(demand.timeToDeadline));
    message.set_most_fill(toHundredths(demand.maxLoadPerSlot));
    message.set_expendable(demand.canRetry);
    message.set_repeat(demand.isRetry);
    message.set_waited_ms(milliseconds(demand.age));
    message.set_number(demand.placementId);
    message.set_route(demand.route.value());
    message.set_priority(demand.priority.value);
    message.set_account(demand.account.value());
}

PlacementCell decodeCell(const protocol::PlacementDemand& message)
{
    const protocol::PlacementCell& cell = message.cell();
    return { ServiceId(cell.service()), ZoneId(cell.zone()), cell.index(), std::max(cell.count(), 1U) };
}

PlacementDemand decode(const protocol::PlacementDemand& message)
{
    PlacementDemand demand;
    demand.placementId = message.number();
    demand.service = ServiceId(message.cell().service());
    demand.route = RouteId(message.route());
    demand.priority = Priority { message.priority() };
    demand.account = ClientAccountId(message.account());
    for (const std::string& id : message.excluded())
        demand.excludedServers.emplace_back(id);
    demand.latencyObjective = std::chrono::milliseconds(message.objective_ms());
    demand.timeToDeadline = std::chrono::milliseconds(message.term_ms());
    demand.maxLoadPerSlot = message.most_fill() / hundredths;
    demand.canRetry = message.expendable();
    demand.isRetry = message.repeat();
    demand.age = std::chrono::milliseconds(message.waited_ms());
    return demand;
}

void encode(const PlacementOutcome& outcome, protocol::PlacementOutcome& message)
{
    message.set_server(outcome.server.value());
    message.set_number(outcome.placementId);
    message.set_end(encode(outcome.status));
    message.set_took_ms(milliseconds(outcome.duration));
    if (outcome.reportedLoad)
        message.set_reported_load(toHundredths(*outcome.reportedLoad));
    message.set_server_leaving(outcome.serverLeaving);
}

PlacementOutcome decode(const protocol::PlacementOutcome& message)
{
    PlacementOutcome outcome { BackendServerId(message.server()), message.number(), PlacementStatus::Cancelled, std::chrono::milliseconds(message.took_ms()), std::nullopt };
    for (const PlacementStatus status : { PlacementStatus::Succeeded, PlacementStatus::Failed, PlacementStatus::Refused, PlacementStatus::Unreachable }) {
        if (encode(status) == message.end())
            outcome.status = status;
    }
    if (message.has_reported_load())
        outcome.reportedLoad = message.reported_load() / hundredths;
    outcome.serverLeaving = message.server_leaving();
    return outcome;
}

} // namespace lacewingsail::internal
