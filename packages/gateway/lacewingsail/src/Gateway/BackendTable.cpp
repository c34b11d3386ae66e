#include "BackendTable.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lacewingsail::internal {

namespace {

    constexpr std::size_t maxIdleConnections = 8;
    // A connection with more refusals than it can remember is closed.
    constexpr std::size_t maxRefusedIds = 64;
    // An idle connection is dropped this long before the server's own timeout, so that no request is sent while the
    // server closes it.
    constexpr std::chrono::milliseconds keepAliveMargin { 700 };
    constexpr std::chrono::milliseconds initialBackOff { 600 };
    constexpr std::chrono::milliseconds maxBackOff { 4000 };
    constexpr int maxBackOffDoublings = 3;
    // Weight of the previous value when the load by other hosts is updated. A single sample is mostly noise, as
    // requests last no longer than the sample is old.
    constexpr double loadSmoothing = 0.5;

    // Peeks at the socket: end of file means that the server closed the connection, data means an unexpected response.
    // The connection cannot be reused in either case.
    bool isReusable(BackendConnection& connection)
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

BackendConnection::BackendConnection(net::io_context& context, std::shared_ptr<BackendConnections> allConnections)
    : connections(std::move(allConnections))
    , stream(context)
{
    ++connections->count;
}

BackendConnection::~BackendConnection() { close(); }

void BackendConnection::enterIdleOrder()
{
    leaveIdleOrder();
    idlePosition = connections->idle.insert(connections->idle.end(), this);
}

void BackendConnection::leaveIdleOrder()
{
    if (const auto position = std::exchange(idlePosition, std::nullopt))
        connections->idle.erase(*position);
}

void BackendConnection::close()
{
    leaveIdleOrder();
    stream.close();
    if (std::exchange(counted, false))
        --connections->count;
}

// A connection that is closed here stays with its server, where it is found not to be reusable.
BackendConnectionPtr BackendTable::makeConnection(net::io_context& context)
{
    if (m_connections->count >= m_connections->maxCount && !m_connections->idle.empty())
        m_connections->idle.front()->close();
    if (m_connections->count >= m_connections->maxCount)
        return nullptr;
    return std::make_shared<BackendConnection>(context, m_connections);
}

void BackendTable::update(const ServerRegistry& registry)
{
    std::map<BackendServerId, BackendStatePtr> servers;
    m_services.clear();
    m_leaving.clear();
    for (const auto& [id, entry] : registry.entries()) {
        const auto previous = m_servers.find(id);
        BackendStatePtr state;
        if (previous != m_servers.end() && isSameIncarnation(previous->second->registration, entry.registration)) {
            state = previous->second;
        } else {
            state = std::make_shared<BackendState>();
            state->decayedAt = m_clock.now();
            if (previous != m_servers.end())
                previous->second->acceptsRequests = false;
        }
        state->registration = entry.registration;
        state->warmupEndsAt = entry.warmupEndsAt;
        state->acceptsRequests = registry.acceptsRequests(entry.registration) && !state->leaving;
        if (state->acceptsRequests)
            m_services[entry.registration.service].push_back(state);
        if (state->leaving)
            m_leaving[entry.registration.service].push_back(id);
        servers.emplace(id, std::move(state));
    }
    for (const auto& [id, state] : m_servers) {
        if (!servers.contains(id))
            state->acceptsRequests = false;
    }
    m_servers = std::move(servers);
}

void BackendTable::updateRemoteStats(const ServerStatsMap& remoteStats)
{
    for (const auto& [id, state] : m_servers) {
        const auto found = remoteStats.find(id);
        const double before = state->remoteStats.inFlight;
        state->remoteStats = found == remoteStats.end() ? ServerStats {} : found->second;
        state->remoteStats.inFlight += (before - state->remoteStats.inFlight) * loadSmoothing;
    }
}

const std::vector<BackendStatePtr>& BackendTable::serversForService(const ServiceId& service) const
{
    static const std::vector<BackendStatePtr> none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : found->second;
}

const std::vector<BackendServerId>& BackendTable::leavingServers(const ServiceId& service) const
{
    static const std::vector<BackendServerId> none;
    const auto found = m_leaving.find(service);
    return found == m_leaving.end() ? none : found->second;
}

Duration BackendTable::timeToAcceptance(const ServiceId& service) const
{
    const MonotonicTime now = m_clock.now();
    std::optional<MonotonicTime> earliest;
    for (const BackendStatePtr& state : serversForService(service))
        earliest = std::min(earliest.value_or(state->refusesUntil), state->refusesUntil);
    return earliest && *earliest > now ? *earliest - now : Duration::zero();
}

void BackendTable::recordLeaving(BackendState& state)
{
    if (std::exchange(state.leaving, true))
        return;
    state.acceptsRequests = false;
    state.idleConnections.clear();
    // The state may be that of an earlier incarnation, which the table no longer holds.
    const bool current = std::erase_if(m_services[state.registration.service], [&](const BackendStatePtr& known) { return known.get() == &state; }) > 0;
    if (current)
        m_leaving[state.registration.service].push_back(state.registration.id);
}

BackendStatePtr BackendTable::find(const BackendServerId& id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() || !found->second->acceptsRequests ? nullptr : found->second;
}

namespace {

    // Servers differ in speed; the average of fewer answers says little of it.
    double believedSlots(const BackendState& state, std::chrono::milliseconds averageTime)
    {
        constexpr double minAnswers = 5;
        const ServerStats stats = state.totalStats();
        if (stats.answered < minAnswers || averageTime.count() <= 0)
            return state.registration.slots.value;
        return effectiveSlots(state.registration.slots, stats.totalAnswerMs / stats.answered / static_cast<double>(averageTime.count()));
    }

} // namespace

void BackendTable::recordConnectTime(const ZoneId& zone, Duration time)
{
    constexpr double weight = 0.1;
    const std::chrono::duration<double> sample = time;
    const auto [known, added] = m_roundTrips.try_emplace(zone, sample);
    known->second += (sample - known->second) * weight;
}

// Cells differ in size, and get requests in proportion to their servers.
PlacementCell BackendTable::chooseCell(const ServiceId& service, const ZoneCapacity& capacity, std::uint64_t random) const
{
    const std::uint32_t count = cellCount(capacity.serverCount);
    PlacementCell first { service, capacity.zone, 0, count };
    if (count <= 1 || capacity.serverCount == 0)
        return first;
    std::size_t firstPosition = random % capacity.serverCount;
    std::size_t secondPosition = random / capacity.serverCount % capacity.serverCount;
    PlacementCell second = first;
    const auto& states = serversForService(service);
    for (const BackendStatePtr& state : states) {
        if (state->registration.zone != capacity.zone)
            continue;
        if (firstPosition-- == 0)
            first.index = cellIndex(state->registration.id, count);
        if (secondPosition-- == 0)
            second.index = cellIndex(state->registration.id, count);
    }
    if (first.index == second.index)
        return first;
    CellLoad firstCapacity;
    CellLoad secondCapacity;
    const auto averageTime = recentAverageTime(service);
    for (const BackendStatePtr& state : states) {
        if (state->registration.zone != capacity.zone)
            continue;
        const std::uint32_t index = cellIndex(state->registration.id, count);
        if (index != first.index && index != second.index)
            continue;
        CellLoad& cell = index == first.index ? firstCapacity : secondCapacity;
        cell.slots += believedSlots(*state, averageTime);
        cell.load += state->totalStats().inFlight;
    }
    return isFreer(secondCapacity, firstCapacity) ? second : first;
}

std::chrono::milliseconds BackendTable::recentAverageTime(const ServiceId& service) const
{
    constexpr std::chrono::milliseconds validity { 200 };
    AverageTime& average = m_averageTimes[service];
    if (m_clock.now() >= average.validUntil)
        average = { averageResponseTime(service), m_clock.now() + validity };
    return average.value;
}

std::vector<ZoneCapacity> BackendTable::zoneCapacities(const ServiceId& service, double coldSlotShare) const
{
    const MonotonicTime now = m_clock.now();
    std::vector<ZoneCapacity> capacities;
    const auto averageTime = recentAverageTime(service);
    for (const BackendStatePtr& state : serversForService(service)) {
        auto capacity = std::ranges::find(capacities, state->registration.zone, &ZoneCapacity::zone);
        if (capacity == capacities.end()) {
            capacity = capacities.insert(capacities.end(), ZoneCapacity { state->registration.zone });
            const auto roundTrip = m_roundTrips.find(state->registration.zone);
            capacity->roundTrip = roundTrip != m_roundTrips.end() ? roundTrip->second : capacity->roundTrip;
        }
        ++capacity->serverCount;
        capacity->slots += believedSlots(*state, averageTime) * (now < state->warmupEndsAt ? coldSlotShare : 1);
        capacity->load += state->totalStats().inFlight;
    }
    return capacities;
}

void BackendTable::decayLocalStats(BackendState& state) const
{
    const MonotonicTime now = m_clock.now();
    decay(state.localStats, now - state.decayedAt);
    state.decayedAt = now;
}

ServerStatsMap BackendTable::localStats()
{
    // Smaller counts are noise and are not sent to other hosts.
    constexpr double minReportedCount = 0.05;
    ServerStatsMap stats;
    for (const auto& [id, state] : m_servers) {
        decayLocalStats(*state);
        if (state->localStats.inFlight > 0 || state->localStats.answered + state->localStats.failed >= minReportedCount)
            stats.emplace(id, state->localStats);
    }
    return stats;
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

BackendConnectionPtr takeIdleConnection(BackendState& state, MonotonicTime now, Duration maxIdleTime, std::string_view requestId)
{
    const std::size_t hash = std::hash<std::string_view>()(requestId);
    while (!state.idleConnections.empty()) {
        BackendConnectionPtr connection = state.idleConnections.back();
        const bool recent = now - connection->idleSince < maxIdleTime;
        if (!recent && now < connection->openUntil)
            return nullptr;
        state.idleConnections.pop_back();
        connection->leaveIdleOrder();
        const bool refused = std::ranges::find(connection->refusedIds, hash) != connection->refusedIds.end();
        if (recent && now < connection->openUntil && !refused && isReusable(*connection))
            return connection;
    }
    return nullptr;
}

void recordRefusal(BackendConnection& connection, std::string_view requestId)
{
    connection.refusedIds.push_back(std::hash<std::string_view>()(requestId));
}

void addIdleConnection(BackendState& state, BackendConnectionPtr connection, MonotonicTime now, Duration keepAlive)
{
    if (connection->refusedIds.size() > maxRefusedIds || state.idleConnections.size() >= maxIdleConnections || !state.acceptsRequests || keepAlive <= keepAliveMargin)
        return;
    connection->idleSince = now;
    connection->openUntil = now + keepAlive - keepAliveMargin;
    connection->reused = true;
    connection->stream.expires_never();
    connection->enterIdleOrder();
    state.idleConnections.push_back(std::move(connection));
}

void recordConnectFailure(BackendState& state, MonotonicTime now)
{
    const auto backOff = initialBackOff * (1 << std::min(state.consecutiveConnectFailures, maxBackOffDoublings));
    ++state.consecutiveConnectFailures;
    state.avoidUntil = now + std::min(backOff, maxBackOff);
    state.idleConnections.clear();
}

void recordConnectSuccess(BackendState& state)
{
    state.consecutiveConnectFailures = 0;
    state.avoidUntil = {};
}

} // namespace lacewingsail::internal
