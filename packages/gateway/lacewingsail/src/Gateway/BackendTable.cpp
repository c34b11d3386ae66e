#include "BackendTable.h"

#include <algorithm>

namespace lacewingsail::internal {

namespace {

    constexpr std::size_t mostIdleConnections = 8;
    // The server's own timeout, less this, so that a request does not cross its closing.
    constexpr std::chrono::milliseconds closingMargin { 700 };
    constexpr std::chrono::milliseconds firstAvoidance { 600 };
    constexpr std::chrono::milliseconds longestAvoidance { 4000 };
    constexpr int mostDoublings = 3;
    // Part of the earlier sight of other hosts' requests that stays with each exchange: one sight is mostly chance, as
    // requests last no longer than it is old.
    constexpr double loadMemory = 0.5;

    // A closed connection reads as its end; a surplus answer reads as data. Neither may be used again.
    bool isQuiet(BackendConnection& connection)
    {
        if (connection.buffer.size() != 0)
            return false;
        auto& socket = connection.stream.socket();
        boost::system::error_code error;
        socket.non_blocking(true, error);
        char byte = 0;
        socket.receive(net::buffer(&byte, 1), net::socket_base::message_peek, error);
        return error == net::error::would_block;
    }

    bool isSameIncarnation(const RegisteredServer& left, const RegisteredServer& right)
    {
        return left.startedAt == right.startedAt && left.endpoint == right.endpoint && left.service == right.service;
    }

} // namespace

void BackendTable::update(const ServerRegistry& registry)
{
    std::map<BackendServerId, BackendStatePtr> servers;
    m_services.clear();
    for (const auto& [id, entry] : registry.entries()) {
        const auto known = m_servers.find(id);
        BackendStatePtr state;
        if (known != m_servers.end() && isSameIncarnation(known->second->registration, entry.registration)) {
            state = known->second;
        } else {
            state = std::make_shared<BackendState>();
            state->decayedAt = m_clock.now();
            if (known != m_servers.end())
                known->second->acceptsRequests = false;
        }
        state->registration = entry.registration;
        state->warmupEndsAt = entry.warmupEndsAt;
        state->acceptsRequests = !entry.registration.draining;
        if (state->acceptsRequests)
            m_services[entry.registration.service].push_back(state);
        servers.emplace(id, std::move(state));
    }
    for (const auto& [id, state] : m_servers) {
        if (!servers.contains(id))
            state->acceptsRequests = false;
    }
    m_servers = std::move(servers);
}

void BackendTable::updateRemoteStats(const ServerStatsMap& others)
{
    for (const auto& [id, state] : m_servers) {
        const auto found = others.find(id);
        const double before = state->remoteStats.inFlight;
        state->remoteStats = found == others.end() ? ServerStats {} : found->second;
        state->remoteStats.inFlight += (before - state->remoteStats.inFlight) * loadMemory;
    }
}

const std::vector<BackendStatePtr>& BackendTable::serversForService(const ServiceId& service) const
{
    static const std::vector<BackendStatePtr> none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : found->second;
}

BackendStatePtr BackendTable::find(const BackendServerId& id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() || !found->second->acceptsRequests ? nullptr : found->second;
}

std::vector<ZoneCapacity> BackendTable::zoneCapacities(const ServiceId& service) const
{
    std::vector<ZoneCapacity> rooms;
    for (const BackendStatePtr& state : serversForService(service)) {
        auto room = std::ranges::find(rooms, state->registration.zone, &ZoneCapacity::zone);
        if (room == rooms.end())
            room = rooms.insert(rooms.end(), ZoneCapacity { state->registration.zone });
        ++room->serverCount;
        room->slots += state->registration.slots.value;
        room->load += state->totalStats().inFlight;
    }
    return rooms;
}

void BackendTable::decayLocalStats(BackendState& state) const
{
    const MonotonicTime now = m_clock.now();
    decay(state.localStats, now - state.decayedAt);
    state.decayedAt = now;
}

ServerStatsMap BackendTable::localStats()
{
    // Less than this is noise and not worth its bytes.
    constexpr double leastReported = 0.05;
    ServerStatsMap uses;
    for (const auto& [id, state] : m_servers) {
        decayLocalStats(*state);
        if (state->localStats.inFlight > 0 || state->localStats.answered + state->localStats.failed >= leastReported)
            uses.emplace(id, state->localStats);
    }
    return uses;
}

std::chrono::milliseconds BackendTable::averageResponseTime(const ServiceId& service) const
{
    ServerStats sum;
    for (const BackendStatePtr& state : serversForService(service))
        sum = sum + state->totalStats();
    if (sum.answered < 1)
        return std::chrono::milliseconds(0);
    return std::chrono::milliseconds(static_cast<std::int64_t>(sum.totalAnswerMs / sum.answered));
}

void BackendTable::closeExpiredConnections()
{
    const MonotonicTime now = m_clock.now();
    for (const auto& entry : m_servers) {
        BackendState& state = *entry.second;
        std::erase_if(state.idleConnections, [&](const BackendConnectionPtr& connection) { return now >= connection->openUntil || !state.acceptsRequests; });
    }
}

BackendConnectionPtr takeIdleConnection(BackendState& state, MonotonicTime now, Duration mostIdle)
{
    while (!state.idleConnections.empty()) {
        BackendConnectionPtr connection = state.idleConnections.back();
        const bool young = now - connection->idleSince < mostIdle;
        if (!young && now < connection->openUntil)
            return nullptr;
        state.idleConnections.pop_back();
        if (young && now < connection->openUntil && isQuiet(*connection))
            return connection;
    }
    return nullptr;
}

void addIdleConnection(BackendState& state, BackendConnectionPtr connection, MonotonicTime now, Duration keepAlive)
{
    if (state.idleConnections.size() >= mostIdleConnections || !state.acceptsRequests || keepAlive <= closingMargin)
        return;
    connection->idleSince = now;
    connection->openUntil = now + keepAlive - closingMargin;
    connection->stream.expires_never();
    state.idleConnections.push_back(std::move(connection));
}

void recordConnectFailure(BackendState& state, MonotonicTime now)
{
    const auto avoidance = firstAvoidance * (1 << std::min(state.consecutiveConnectFailures, mostDoublings));
    ++state.consecutiveConnectFailures;
    state.avoidUntil = now + std::min(avoidance, longestAvoidance);
    state.idleConnections.clear();
}

void recordConnectSuccess(BackendState& state)
{
    state.consecutiveConnectFailures = 0;
    state.avoidUntil = {};
}

} // namespace lacewingsail::internal
