#include <lacewingsail/Exchange.h>

#include "ExchangeCodec.h"

#include <lacewingsail/Observe.h>
#include <lacewingsail/Wire.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // After its start a host also calls the seeds: when a whole fleet starts at once, its hosts know only some of the others.
    constexpr std::chrono::seconds seedPeriod { 4 };
    // Age of the known state from which the second relay is called too, and from which every relay calls other zones.
    constexpr std::chrono::milliseconds staleAfter { 1200 };
    // Exchanges from one host list to the next. A host that does not answer is noticed sooner by the hosts that call it.
    constexpr std::size_t hostListInterval = 4;
    // Time on this host's link that the configurations sent in one interval may take. More at once would delay all of them beyond
    // the deadline of the calls that carry them.
    constexpr std::chrono::duration<double> configurationLinkTime { 0.3 };
    constexpr double bytesPerMegabit = 1e6 / 8;
    // Several times the longest record of the store.
    constexpr std::size_t maxConfigurationTextBytes = 4 * 1024 * 1024;

    std::chrono::milliseconds since(MonotonicTime now, MonotonicTime then)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
    }

    std::optional<std::uint32_t> ageMilliseconds(MonotonicTime now, MonotonicTime asOf)
    {
        if (asOf == MonotonicTime {})
            return std::nullopt;
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, since(now, asOf).count()));
    }

} // namespace internal

FleetExchange::FleetExchange(FleetExchangeParts parts)
    : m_parts(std::move(parts))
    , m_startedAt(m_parts.clock.now())
{
}

bool FleetExchange::isRelay() const
{
    const auto live = m_parts.directory.liveHosts(m_parts.clock.now());
    const LiveHost& self = m_parts.directory.self();
    const auto relays = relaysInZone(live, self.zone);
    return std::ranges::any_of(relays, [&](const LiveHost* host) { return host->id == self.id; });
}

bool FleetExchange::isPrimaryRelay() const
{
    const auto live = m_parts.directory.liveHosts(m_parts.clock.now());
    const auto relays = relaysInZone(live, m_parts.directory.self().zone);
    return !relays.empty() && relays.front()->id == m_parts.directory.self().id;
}

void FleetExchange::probe(const LiveHost& host)
{
    const MonotonicTime now = m_parts.clock.now();
    MonotonicTime& probedAt = m_probedAt[host.id];
    if (now - probedAt < interval)
        return;
    probedAt = now;
    call(host.peerEndpoint, false);
}

bool FleetExchange::isStale() const
{
    const MonotonicTime now = m_parts.clock.now();
    const MonotonicTime asOf = std::min(m_parts.follower.configurationAsOf(), m_parts.follower.serversAsOf());
    return now - asOf >= internal::staleAfter;
}

std::vector<Endpoint> FleetExchange::callTargets() const
{
    const MonotonicTime now = m_parts.clock.now();
    const LiveHost& self = m_parts.directory.self();
    const auto live = m_parts.directory.liveHosts(now);
    std::vector<Endpoint> targets;
    const auto add = [&](const Endpoint& endpoint) {
        if (endpoint != self.peerEndpoint && std::ranges::find(targets, endpoint) == targets.end())
            targets.push_back(endpoint);
    };
    const auto relays = relaysInZone(live, self.zone);
    const bool isPrimary = !relays.empty() && relays.front()->id == self.id;
    for (std::size_t rank = 0; rank < relays.size(); ++rank) {
        if (rank == 0 || isPrimary || isStale())
            add(relays[rank]->peerEndpoint);
    }
    std::set<ZoneId> zones;
    for (const LiveHost& host : live)
        zones.insert(host.zone);
    // Traffic between zones is expensive: a relay that is not the primary calls other zones only while its state is stale.
    for (const ZoneId& zone : zones) {
        const auto zoneRelays = relaysInZone(live, zone);
        if (isPrimary || (isRelay() && isStale()))
            add(zoneRelays.front()->peerEndpoint);
    }
    if (live.size() <= 1 || now - m_startedAt < internal::seedPeriod) {
        for (const Endpoint& seed : m_parts.seeds)
            add(seed);
    }
    return targets;
}

void FleetExchange::tick()
{
    if (!m_calls)
        return;
    m_configurationBytesLeft = static_cast<std::size_t>(m_parts.linkMegabitsPerSecond * internal::bytesPerMegabit * internal::configurationLinkTime.count());
    m_parts.stats.setLocal(m_parts.localStats(), m_parts.clock.now());
    m_parts.directory.evictSilentHosts(m_parts.clock.now());
    const bool includeHosts = m_ticks++ % internal::hostListInterval == 0 || m_parts.clock.now() - m_startedAt < internal::seedPeriod;
    for (const Endpoint& target : callTargets())
        call(target, includeHosts);
}

void FleetExchange::fillConfiguration(protocol::FleetNews& update)
{
    if (m_compressedVersion != m_parts.active.version()) {
        m_compressedVersion = m_parts.active.version();
        m_compressedConfiguration = compress(m_parts.active.text());
    }
    if (m_compressedConfiguration.size() > m_configurationBytesLeft)
        return;
    m_configurationBytesLeft -= m_compressedConfiguration.size();
    update.set_compressed_configuration(m_compressedConfiguration);
}

// Hosts of earlier versions tell no eras; their offsets are taken as of this host's era.
FleetExchange::PeerState FleetExchange::peerState(const protocol::FleetNews& update) const
{
    const StoreEra era = update.has_servers_end_era() ? StoreEra { update.servers_end_era() } : m_parts.registry.end().era;
    return { ConfigurationVersion { update.configuration_version() }, { era, LogOffset { update.servers_end() } } };
}

void FleetExchange::fillUpdate(const PeerState& peer, protocol::FleetNews& update)
{
    const MonotonicTime now = m_parts.clock.now();
    update.set_configuration_version(number(m_parts.active.version()));
    if (peer.configuration < m_parts.active.version())
        fillConfiguration(update);
    if (const auto age = internal::ageMilliseconds(now, m_parts.follower.configurationAsOf()))
        update.set_configuration_age_ms(*age);
    if (const auto age = internal::ageMilliseconds(now, m_parts.follower.serversAsOf()))
        update.set_servers_age_ms(*age);
    const StorePosition end = m_parts.registry.end();
    update.set_servers_end(number(end.offset));
    update.set_servers_end_era(number(end.era));
    const auto changes = m_parts.registry.changesSince(peer.serversEnd, now);
    update.set_all_servers(!changes);
    update.set_servers_from(number(peer.serversEnd.offset));
    update.set_servers_from_era(number(peer.serversEnd.era));
    for (const ServerChange& change : changes ? *changes : m_parts.registry.allServers(now))
        internal::encode(change, end.era, *update.add_servers());
    for (const ZoneEvacuation& evacuation : m_parts.registry.evacuations().records())
        internal::encode(evacuation, *update.add_evacuations());
}

template <typename Message>
void FleetExchange::fillHosts(Message& message) const
{
    const MonotonicTime now = m_parts.clock.now();
    const FleetDirectory& directory = m_parts.directory;
    internal::encode({ directory.self(), now, directory.startedAt(), {}, {}, directory.isLeaving() }, now, *message.mutable_sender());
    if (directory.knowsFleetSize())
        internal::encode(directory.recordedFleetSize(), now, *message.mutable_sender());
    for (const auto& [id, entry] : directory.entries())
        internal::encode(entry, now, *message.add_hosts());
}

template <typename Message>
void FleetExchange::applyHosts(const Message& message)
{
    const MonotonicTime now = m_parts.clock.now();
    if (const auto sender = internal::decode(message.sender(), now)) {
        m_parts.directory.recordAlive(sender->host, now, sender->startedAt, sender->leaving);
        m_parts.directory.recordCallSuccess(sender->host.id);
    }
    if (const auto size = internal::decodeFleetSize(message.sender(), now))
        m_parts.directory.recordFleetSize(*size);
    for (const protocol::GatewayHost& listed : message.hosts()) {
        if (const auto entry = internal::decode(listed, now))
            m_parts.directory.recordAlive(entry->host, entry->lastAliveAt, entry->startedAt, entry->leaving);
    }
}

bool FleetExchange::applyConfiguration(const protocol::FleetNews& update, const std::string& sender)
{
    const std::string& frame = update.compressed_configuration();
    if (frame.empty() || update.configuration_version() <= number(m_parts.active.version()))
        return false;
    const auto text = decompress(frame, internal::maxConfigurationTextBytes);
    if (!text) {
        log(Event("configuration-malformed").with("source", sender).with("bytes", static_cast<long long>(frame.size())));
        return false;
    }
    return m_parts.active.applyIfNewer(*text, sender);
}

bool FleetExchange::applyEvacuations(const protocol::FleetNews& update, const std::string& sender)
{
    bool changed = false;
    for (const protocol::ZoneEvacuation& message : update.evacuations()) {
        const auto evacuation = internal::decode(message);
        if (evacuation)
            changed = m_parts.registry.apply(*evacuation, sender, m_parts.clock.now()) || changed;
        else
            log(Event("evacuation-record-malformed").with("source", sender).with("reason", "zone"));
    }
    return changed;
}

void FleetExchange::applyUpdate(const protocol::FleetNews& update, const std::string& sender)
{
    const MonotonicTime now = m_parts.clock.now();
    bool changed = applyEvacuations(update, sender);
    changed = applyConfiguration(update, sender) || changed;
    const StorePosition end = peerState(update).serversEnd;
    m_parts.follower.recordEra(end.era, sender);
    std::vector<ServerChange> changes;
    for (const protocol::ServerNews& message : update.servers()) {
        auto change = internal::decode(message, end.era);
        if (!change)
            continue;
        // The store may have been unavailable to the sender only: then the expired registration shows that the server is gone.
        if (change->expiredFor && m_parts.follower.storeHealth() == StoreHealth::Healthy) {
            change->lastStamp = change->server->stamp();
            change->server.reset();
        }
        changes.push_back(std::move(*change));
    }
    const StorePosition previousEnd = m_parts.registry.end();
    const StorePosition from { update.has_servers_from_era() ? StoreEra { update.servers_from_era() } : end.era, LogOffset { update.servers_from() } };
    // What is complete for an older era lacks the changes of this host's.
    const bool complete = end.era >= previousEnd.era && (update.all_servers() || previousEnd >= from);
    // A full set from a sender that is behind this host does not show that the servers missing from it are gone.
    if (update.all_servers() && end >= previousEnd && end.offset != LogOffset {})
        changed = m_parts.registry.replace(changes, end, m_parts.follower.storeHealth(), now) || changed;
    else
        for (const ServerChange& change : changes)
            changed = m_parts.registry.apply(change, StoreHealth::Healthy, now) || changed;
    // The sender's state counts as fresh only if this host now has all of it.
    const bool hasConfiguration = number(m_parts.active.version()) >= update.configuration_version();
    const MonotonicTime never {};
    const MonotonicTime configurationAsOf = update.has_configuration_age_ms() && hasConfiguration ? now - std::chrono::milliseconds(update.configuration_age_ms()) : never;
    const MonotonicTime serversAsOf = update.has_servers_age_ms() && complete ? now - std::chrono::milliseconds(update.servers_age_ms()) : never;
    if (serversAsOf != never)
        m_parts.registry.advanceEnd(end);
    m_parts.follower.recordFreshness(configurationAsOf, serversAsOf);
    if (changed)
        m_parts.onChange();
}

void FleetExchange::call(const Endpoint& target, bool includeHosts)
{
    auto request = std::make_unique<protocol::ExchangeRequest>();
    const MonotonicTime now = m_parts.clock.now();
    // A host of unknown state is sent nothing that it may have; its reply tells what it lacks.
    const auto known = m_peerStates.find(target);
    fillUpdate(known == m_peerStates.end() ? PeerState { m_parts.active.version(), m_parts.registry.end() } : known->second, *request->mutable_news());
    fillHosts(*request);
    if (!isRelay() || !includeHosts)
        request->clear_hosts();
    request->set_wants_hosts(includeHosts);
    internal::encode(m_parts.localStats(), *request->mutable_use());
    if (isRelay()) {
        for (const ZoneStats& zone : m_parts.stats.zoneTotals(now)) {
            if (zone.zone == m_parts.directory.self().zone)
                internal::encode(zone, now, *request->add_zones());
        }
    }
    const std::size_t requestBytes = request->ByteSizeLong();
    m_calls->exchange(target, std::move(request), [this, target, now, requestBytes](const protocol::ExchangeReply* reply) {
        if (reply)
            return handleReply(target, *reply);
        log(Event("exchange-failed").with("host", text(target)).with("request_bytes", static_cast<long long>(requestBytes)).with("took_ms", internal::since(m_parts.clock.now(), now).count()));
        recordFailure(target);
    });
}

void FleetExchange::recordFailure(const Endpoint& target)
{
    for (const auto& [id, entry] : m_parts.directory.entries()) {
        if (entry.host.peerEndpoint == target)
            m_parts.directory.recordCallFailure(id, m_parts.clock.now());
    }
    m_peerStates.erase(target);
}

void FleetExchange::handleReply(const Endpoint& target, const protocol::ExchangeReply& reply)
{
    const PeerState peer = peerState(reply.news());
    m_peerStates[target] = peer;
    applyHosts(reply);
    applyUpdate(reply.news(), reply.sender().id());
    if (peer.configuration > m_parts.active.version())
        m_parts.follower.requireConfiguration();
    for (const protocol::UseOfZone& zone : reply.zones())
        m_parts.stats.setZoneTotals(internal::decode(zone, m_parts.clock.now()), m_parts.clock.now());
}

void FleetExchange::handleRequest(const protocol::ExchangeRequest& request, protocol::ExchangeReply& reply)
{
    const MonotonicTime now = m_parts.clock.now();
    applyHosts(request);
    applyUpdate(request.news(), request.sender().id());
    const auto sender = internal::decode(request.sender(), now);
    if (sender && sender->host.zone == m_parts.directory.self().zone)
        m_parts.stats.setHost(sender->host.id, internal::decode(request.use()), now);
    for (const protocol::UseOfZone& zone : request.zones())
        m_parts.stats.setZoneTotals(internal::decode(zone, now), now);
    fillUpdate(peerState(request.news()), *reply.mutable_news());
    fillHosts(reply);
    if (!request.wants_hosts())
        reply.clear_hosts();
    for (const ZoneStats& zone : m_parts.stats.zoneTotals(now))
        internal::encode(zone, now, *reply.add_zones());
}

} // namespace lacewingsail
