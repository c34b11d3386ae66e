#pragma once

#include "Asio.h"

#include <lacewingsail/Exchange.h>
#include <lacewingsail/Http.h>

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace lacewingsail::internal {

struct BackendConnection;

/// \brief The connections of this host to all backend servers.
struct BackendConnections {
    /// Those that exist, apart from idle ones that were closed to make room.
    std::size_t count = 0;
    std::size_t maxCount = 0;
    /// In the order in which they became idle.
    std::list<BackendConnection*> idle;
};

/// \brief An open connection to a backend server.
struct BackendConnection {
    BackendConnection(net::io_context&, std::shared_ptr<BackendConnections>);
    ~BackendConnection();
    BackendConnection(const BackendConnection&) = delete;
    BackendConnection& operator=(const BackendConnection&) = delete;

    /// \brief Enters the connection as the last of the idle ones.
    void enterIdleOrder();
    void leaveIdleOrder();
    /// \brief Closes the connection, which no longer counts.
    void close();

    std::shared_ptr<BackendConnections> connections;
    std::optional<std::list<BackendConnection*>::iterator> idlePosition;
    bool counted = true;

    beast::tcp_stream stream;
    beast::flat_buffer buffer { maxUnparsedBytes };
    MonotonicTime idleSince {};
    /// Until then the server is expected to keep it open while it is idle.
    MonotonicTime openUntil {};
    /// Whether it carried an earlier request, to which a late response may arrive.
    bool reused = false;
    /// Hashes of the ids of requests that the server refused on it.
    std::vector<std::size_t> refusedIds;
};

using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

/// \brief State that this host keeps for one backend server.
struct BackendState {
    RegisteredServer registration;
    MonotonicTime warmupEndsAt {};
    /// Whether new requests may be sent to it: it is registered, neither draining nor in an evacuated zone, and has not
    /// stated that it leaves.
    bool acceptsRequests = true;
    /// This incarnation stated that it is about to leave.
    bool leaving = false;
    /// Gets no requests of this host until then, as it asked for when it refused one.
    MonotonicTime refusesUntil {};
    /// Requests of this host; the counts decay exponentially.
    ServerStats localStats;
    MonotonicTime decayedAt {};
    /// Requests of all other hosts, as of the last exchange between hosts.
    ServerStats remoteStats;
    /// Avoided until then, since the network path from this host to the server failed.
    MonotonicTime avoidUntil {};
    int consecutiveConnectFailures = 0;
    /// Avoided until then, since it refused a request as overloaded, or as meant for another server.
    MonotonicTime overloadedUntil {};
    /// Estimate from the outcomes of this host's requests.
    GrayFailureEstimate failureEstimate;
    RefusalCounts refusals;
    /// Requests that this host has placed on it without a coordinator.
    RecentlyPlaced recentlyPlaced;
    std::deque<BackendConnectionPtr> idleConnections;

    /// \returns the statistics over all hosts.
    ServerStats totalStats() const { return localStats + remoteStats; }
};

using BackendStatePtr = std::shared_ptr<BackendState>;

/// \brief The backend servers of all services.
class BackendTable {
public:
    /// \param maxConnections most connections to all servers together.
    BackendTable(const Clock& clock, std::size_t maxConnections)
        : m_clock(clock)
        , m_connections(std::make_shared<BackendConnections>())
    {
        m_connections->maxCount = maxConnections;
    }

    /// \returns a connection that is not open yet, for which the one that has been idle the longest is closed if need be; null if
    /// there is no room for it.
    BackendConnectionPtr makeConnection(net::io_context&);

    /// \brief Updates the table from the registry. A server keeps its state for as long as its incarnation is the same.
    void update(const ServerRegistry&);

    /// \brief Replaces the statistics of the other hosts; their requests in flight are smoothed over several updates.
    void updateRemoteStats(const ServerStatsMap&);

    /// \returns the servers of a service that accept new requests, including those that are warming up.
    const std::vector<BackendStatePtr>& serversForService(const ServiceId&) const;

    /// \returns the server with this id, or null if it does not accept new requests.
    BackendStatePtr find(const BackendServerId&) const;

    /// \returns the servers of a service that are registered but have stated that they leave.
    const std::vector<BackendServerId>& leavingServers(const ServiceId&) const;

    /// \returns the time after which one of the servers of a service accepts requests of this host; zero if one accepts them now or
    /// there is none.
    Duration timeToAcceptance(const ServiceId&) const;

    /// \returns what the servers of a service refused requests of this host.
    ServiceRefusals& refusals(const ServiceId& service) { return m_refusals[service]; }

    /// \brief Records how long a connection to a server of the zone took to open: one round trip.
    void recordConnectTime(const ZoneId&, Duration);

    /// \returns the cell of one of two random servers of the zone that has less load per slot.
    PlacementCell chooseCell(const ServiceId&, const ZoneCapacity&, std::uint64_t random) const;

    /// \brief Records that a server stated that it is about to leave: it gets no new requests.
    void recordLeaving(BackendState&);

    /// \returns the number, slots and load of a service's servers in each availability zone. Allocates.
    /// \param coldSlotShare share of its slots that a cold server counts with.
    std::vector<ZoneCapacity> zoneCapacities(const ServiceId&, double coldSlotShare) const;

    /// \returns the statistics of this host's requests, decayed to the present. Allocates.
    ServerStatsMap localStats();

    /// \returns the average response time of a service's servers over all hosts; zero if it is not known.
    std::chrono::milliseconds averageResponseTime(const ServiceId&) const;

    /// \brief Decays the local statistics of one server to the present.
    void decayLocalStats(BackendState&) const;

    /// \brief Closes idle connections that the servers may close soon, and those to servers that accept no requests.
    void closeExpiredConnections();

private:
    /// \brief An average response time, kept for a moment: a sum over all servers is too much for each request.
    struct AverageTime {
        std::chrono::milliseconds value { 0 };
        MonotonicTime validUntil {};
    };

    std::chrono::milliseconds recentAverageTime(const ServiceId&) const;

    const Clock& m_clock;
    std::shared_ptr<BackendConnections> m_connections;
    std::map<BackendServerId, BackendStatePtr> m_servers;
    std::map<ServiceId, std::vector<BackendStatePtr>> m_services;
    std::map<ServiceId, std::vector<BackendServerId>> m_leaving;
    std::map<ServiceId, ServiceRefusals> m_refusals;
    /// Smoothed.
    std::map<ZoneId, std::chrono::duration<double>> m_roundTrips;
    mutable std::map<ServiceId, AverageTime> m_averageTimes;
};

/// \brief Removes and returns an idle connection that is still open, has no unread data and was used less than
/// \p maxIdleTime ago. \returns null if there is none.
///
/// A connection on which a request with the same id was refused is closed instead: another copy of that refusal could not be
/// told from the response to this request.
BackendConnectionPtr takeIdleConnection(BackendState&, MonotonicTime now, Duration maxIdleTime, std::string_view requestId);

/// \brief Records that the server refused a request on this connection.
void recordRefusal(BackendConnection&, std::string_view requestId);

/// \brief Keeps a connection for reuse. Its last response must have been read completely.
/// \param keepAlive idle timeout of the server.
void addIdleConnection(BackendState&, BackendConnectionPtr, MonotonicTime now, Duration keepAlive);

/// \brief Records that the server could not be reached. This host then avoids it, with exponential back-off.
void recordConnectFailure(BackendState&, MonotonicTime now);
void recordConnectSuccess(BackendState&);

} // namespace lacewingsail::internal
