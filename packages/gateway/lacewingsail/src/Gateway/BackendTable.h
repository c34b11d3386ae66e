#pragma once

#include "Asio.h"

#include <lacewingsail/Exchange.h>

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace lacewingsail::internal {

/// \brief An open connection to a backend server.
struct BackendConnection {
    explicit BackendConnection(net::io_context& context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    MonotonicTime idleSince {};
    /// Until when the server keeps it open while idle.
    MonotonicTime openUntil {};
};

using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

/// \brief A backend server as this host sees it.
struct BackendState {
    RegisteredServer registration;
    MonotonicTime warmupEndsAt {};
    /// Whether it may get new work: registered and not leaving.
    bool acceptsRequests = true;
    /// This host's own requests; its counts fade.
    ServerStats localStats;
    MonotonicTime decayedAt {};
    /// Requests of all other hosts, as of the last exchange.
    ServerStats remoteStats;
    /// Not tried until then, since connections or answers failed on the way from this host.
    MonotonicTime avoidUntil {};
    int consecutiveConnectFailures = 0;
    /// It said that it is full, or that it is another server.
    MonotonicTime overloadedUntil {};
    /// What this host's own requests tell of failures.
    GrayFailureEstimate failureEstimate;
    std::deque<BackendConnectionPtr> idleConnections;

    /// \returns the use by all hosts.
    ServerStats totalStats() const { return localStats + remoteStats; }
};

using BackendStatePtr = std::shared_ptr<BackendState>;

/// \brief All backend servers, by service.
class BackendTable {
public:
    explicit BackendTable(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// \brief Takes over the registry. Servers keep their state while they are the same incarnation.
    void update(const ServerRegistry&);

    /// \brief Takes over what the other hosts have with the servers.
    void updateRemoteStats(const ServerStatsMap&);

    /// \returns the servers of a service that may get new work, those that warm up included.
    const std::vector<BackendStatePtr>& serversForService(const ServiceId&) const;

    /// \returns the server with this id, if it may get new work.
    BackendStatePtr find(const BackendServerId&) const;

    /// \returns what the servers of a service have room for in each availability zone. Allocates.
    std::vector<ZoneCapacity> zoneCapacities(const ServiceId&) const;

    /// \returns this host's own use, faded until now. Allocates.
    ServerStatsMap localStats();

    /// \returns the smoothed time to answer of a service's servers, over all hosts; zero if not known.
    std::chrono::milliseconds averageResponseTime(const ServiceId&) const;

    /// \brief Lets the own counts of one server fade until now.
    void decayLocalStats(BackendState&) const;

    /// \brief Closes connections that have been idle for long.
    void closeExpiredConnections();

private:
    const Clock& m_clock;
    std::map<BackendServerId, BackendStatePtr> m_servers;
    std::map<ServiceId, std::vector<BackendStatePtr>> m_services;
};

/// \brief Takes a kept connection that is quiet and was used less than \p mostIdle ago. \returns null if there is none.
BackendConnectionPtr takeIdleConnection(BackendState&, MonotonicTime now, Duration mostIdle);

/// \brief Keeps a connection whose last answer was complete.
void addIdleConnection(BackendState&, BackendConnectionPtr, MonotonicTime now, Duration keepAlive);

/// \brief Notes that the way to a server failed, so that this host avoids it for a while, longer each time.
void recordConnectFailure(BackendState&, MonotonicTime now);
void recordConnectSuccess(BackendState&);

} // namespace lacewingsail::internal
