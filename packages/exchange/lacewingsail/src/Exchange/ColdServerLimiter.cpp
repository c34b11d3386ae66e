#include <lacewingsail/Exchange.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace lacewingsail {

namespace internal {

    // Much shorter than the time that a new coordinator waits for the requests of the former one.
    constexpr std::chrono::milliseconds authorityPeriod { 100 };
    // Cells whose authority is remembered; forgotten together, as their number changes with that of the servers.
    constexpr std::size_t maxAuthorities = 1024;
    constexpr std::chrono::seconds bindingLogInterval { 1 };
    constexpr ColdServerPart unlimited { std::numeric_limits<double>::infinity(), MonotonicTime::min() };

} // namespace internal

ColdServerLimiter::ColdServerLimiter(const FleetDirectory& directory, const ActiveConfiguration& active, const GatewayBounds& bounds, const Clock& clock)
    : m_directory(directory)
    , m_active(active)
    , m_bounds(bounds)
    , m_clock(clock)
{
}

std::optional<int> ColdServerLimiter::bound(const ServiceId& service) const
{
    if (!m_active.current())
        return std::nullopt;
    const auto& services = m_active.current()->published.configuration.services;
    const auto found = std::ranges::find(services, service, &Service::id);
    return found == services.end() ? std::nullopt : coldServerBound(found->coldRate, m_bounds);
}

ColdServerPart ColdServerLimiter::coordinatorPart(const PlacementCell& cell)
{
    const auto requests = bound(cell.service);
    if (!requests)
        return internal::unlimited;
    const MonotonicTime now = m_clock.now();
    if (m_authorities.size() > internal::maxAuthorities)
        m_authorities.clear();
    KnownAuthority& known = m_authorities[cell];
    if (now >= known.validUntil) {
        known.authority = m_directory.cellAuthority(cell.zone, coordinatorKey(cell), now);
        known.validUntil = now + internal::authorityPeriod;
    }
    return coldServerPart(*requests, known.authority.role, known.authority.authority);
}

void ColdServerLimiter::update(const PlacementCell& cell, std::span<TrackedServer* const> servers)
{
    const MonotonicTime now = m_clock.now();
    std::optional<ColdServerPart> part;
    for (TrackedServer* server : servers) {
        server->coldRateBinds = false;
        const bool wasCold = std::exchange(server->knownCold, now < server->warmupEndsAt);
        if (!server->knownCold) {
            if (wasCold)
                log(Event("server-warm").with("server", server->registration.id).with("service", cell.service));
            continue;
        }
        if (!part)
            part = coordinatorPart(cell);
        if (!wasCold)
            logTurnedCold(*server, *part);
        server->coldRateBinds = !mayPlace(server->registration.id, server->recentlyPlaced, *part);
        if (server->coldRateBinds)
            logBinds(*server, *part);
    }
}

void ColdServerLimiter::count(const char* name, const ServiceId& service) const
{
    if (m_metrics)
        m_metrics->counter(name, "service", service.value()).fetch_add(1, std::memory_order_relaxed);
}

void ColdServerLimiter::logTurnedCold(const TrackedServer& server, const ColdServerPart& part) const
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(server.warmupEndsAt - m_clock.now());
    count("servers_turned_cold_total", server.registration.service);
    Event event("server-cold");
    event.with("server", server.registration.id).with("service", server.registration.service).with("zone", server.registration.zone).with("left_ms", static_cast<long long>(left.count()));
    if (const auto requests = bound(server.registration.service))
        event.with("bound", *requests).with("part", static_cast<long long>(part.requests));
    log(event);
}

void ColdServerLimiter::logBinds(TrackedServer& server, const ColdServerPart& part) const
{
    const MonotonicTime now = m_clock.now();
    if (now < server.coldRateLoggedAt + internal::bindingLogInterval)
        return;
    server.coldRateLoggedAt = now;
    count("cold_rate_binds_total", server.registration.service);
    log(Event("cold-rate-binds").with("server", server.registration.id).with("service", server.registration.service).with("part", static_cast<long long>(part.requests)).with("held_back", now < part.since + coldServerWindow ? "takeover" : "used"));
}

ColdServerPart ColdServerLimiter::uncoordinatedPart(const ServiceId& service) const
{
    const auto requests = bound(service);
    return requests ? coldServerPart(*requests, ColdServerSender::Uncoordinated, m_directory.uncoordinatedAuthority(m_clock.now())) : internal::unlimited;
}

bool ColdServerLimiter::mayPlace(const BackendServerId& server, const RecentlyPlaced& placed, const ColdServerPart& part) const
{
    const std::uint64_t seed = part.requests < 1 ? rendezvousWeight(server.value(), m_directory.self().id.value()) : 0;
    return mayPlaceOnColdServer(placed, part, seed, m_clock.now());
}

} // namespace lacewingsail
