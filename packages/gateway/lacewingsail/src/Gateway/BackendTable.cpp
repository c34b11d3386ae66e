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
    bool isQuiet(UpstreamConnection& connection)
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
        if (known != m_servers.end() && isSameIncarnation(known->second->server, entry.registration)) {
            state = known->second;
        } else {
            state = std::make_shared<BackendState>();
            state->fadedAt = m_clock.now();
            if (known != m_servers.end())
                known->second->inUse = false;
        }
        state->server = entry.registration;
        state->warmupEndsAt = entry.warmupEndsAt;
        state->inUse = !entry.registration.draining;
        if (state->inUse)
            m_services[entry.registration.service].push_back(state);
        servers.emplace(id, std::move(state));
    }
    for (const auto& [id, state] : m_servers) {
        if (!servers.contains(id))
            state->inUse = false;
    }
    m_servers = std::move(servers);
}

void BackendTable::takeOthers(const ServerStatsMap& others)
{
    for (const auto& [id, state] : m_servers) {
        const auto found = others.find(id);
        const double before = state->others.inFlight;
        state->others = found == others.end() ? ServerStats {} : found->second;
        state->others.inFlight += (before - state->others.inFlight) * loadMemory;
    }
}

const std::vector<BackendStatePtr>& BackendTable::of(const ServiceId& service) const
{
    static const std::vector<BackendStatePtr> none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : found->second;
}

BackendStatePtr BackendTable::find(const BackendServerId& id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() || !found->second->inUse ? nullptr : found->second;
}

std::vector<ZoneCapacity> BackendTable::rooms(const ServiceId& service) const
{
    std::vector<ZoneCapacity> rooms;
    for (const BackendStatePtr& state : of(service)) {
        auto room = std::ranges::find(rooms, state->server.zone, &ZoneCapacity::zone);
        if (room == rooms.end())
            room = rooms.insert(rooms.end(), ZoneCapacity { state->server.zone });
        ++room->serverCount;
        room->slots += state->server.slots.value;
        room->load += state->total().inFlight;
    }
    return rooms;
}

void BackendTable::fadeOwn(BackendState& state) const
{
    const MonotonicTime now = m_clock.now();
    decay(state.own, now - state.fadedAt);
    state.fadedAt = now;
}

ServerStatsMap BackendTable::ownUse()
{
    // Less than this is noise and not worth its bytes.
    constexpr double leastReported = 0.05;
    ServerStatsMap uses;
    for (const auto& [id, state] : m_servers) {
        fadeOwn(*state);
        if (state->own.inFlight > 0 || state->own.answered + state->own.failed >= leastReported)
            uses.emplace(id, state->own);
    }
    return uses;
}

std::chrono::milliseconds BackendTable::usualAnswer(const ServiceId& service) const
{
    ServerStats sum;
    for (const BackendStatePtr& state : of(service))
        sum = sum + state->total();
    if (sum.answered < 1)
        return std::chrono::milliseconds(0);
    return std::chrono::milliseconds(static_cast<std::int64_t>(sum.totalAnswerMs / sum.answered));
}

void BackendTable::closeIdle()
{
    const MonotonicTime now = m_clock.now();
    for (const auto& entry : m_servers) {
        BackendState& state = *entry.second;
        std::erase_if(state.idle, [&](const UpstreamConnectionPtr& connection) { return now >= connection->openUntil || !state.inUse; });
    }
}

UpstreamConnectionPtr takeIdle(BackendState& state, MonotonicTime now, Duration mostIdle)
{
    while (!state.idle.empty()) {
        UpstreamConnectionPtr connection = state.idle.back();
        const bool young = now - connection->idleSince < mostIdle;
        if (!young && now < connection->openUntil)
            return nullptr;
        state.idle.pop_back();
        if (young && now < connection->openUntil && isQuiet(*connection))
            return connection;
    }
    return nullptr;
}

void putIdle(BackendState& state, UpstreamConnectionPtr connection, MonotonicTime now, Duration keepAlive)
{
    if (state.idle.size() >= mostIdleConnections || !state.inUse || keepAlive <= closingMargin)
        return;
    connection->idleSince = now;
    connection->openUntil = now + keepAlive - closingMargin;
    connection->stream.expires_never();
    state.idle.push_back(std::move(connection));
}

void noteUnreachable(BackendState& state, MonotonicTime now)
{
    const auto avoidance = firstAvoidance * (1 << std::min(state.failuresInRow, mostDoublings));
    ++state.failuresInRow;
    state.avoidUntil = now + std::min(avoidance, longestAvoidance);
    state.idle.clear();
}

void noteReachable(BackendState& state)
{
    state.failuresInRow = 0;
    state.avoidUntil = {};
}

} // namespace lacewingsail::internal
