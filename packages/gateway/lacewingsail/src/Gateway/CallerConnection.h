#pragma once

#include "RequestState.h"

#include <deque>
#include <memory>
#include <set>

namespace lacewingsail::internal {

class CallerConnection;

/// \brief All open connections of callers, and whether the host is stopping.
struct CallerConnections {
    std::set<std::shared_ptr<CallerConnection>> open;
    bool draining = false;
};

/// \brief One connection of a caller. Its requests are worked on side by side and answered in order.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(RequestServices&, CallerConnections&, net::ip::tcp::socket);

    /// \brief Reads requests until the connection ends; keeps itself alive meanwhile.
    void start();

    /// \returns whether no request is being read, worked on or answered.
    bool isIdle() const { return m_pending.empty() && !m_receiving; }

    /// \brief Ends the connection once everything read has been answered.
    void closeIfIdle();

private:
    /// \brief A request that was read, and its answer once there is one.
    struct PendingRequest {
        std::shared_ptr<RequestState> request;
        std::optional<ResponseMessage> response;
        bool closesConnection = false;
    };
    using PendingRequestPtr = std::shared_ptr<PendingRequest>;

    net::awaitable<void> read();
    net::awaitable<bool> readRequest();
    net::awaitable<bool> waitForData();
    net::awaitable<void> handleRequest(PendingRequestPtr);
    void enqueueRequest(RequestMessage);
    void rejectRequest(ResultCode);
    void writeNextResponse();
    void onResponseWritten(bool closesConnection, const boost::system::error_code&);
    void onCallerDisconnected();
    void unregister();
    void startTimer(Duration);
    CallerLimits limits() const;
    Duration idleTimeout() const;

    RequestServices& m_services;
    CallerConnections& m_connections;
    net::ip::tcp::socket m_socket;
    net::steady_timer m_timer;
    /// Wakes the reader when there is room for further requests.
    net::steady_timer m_queueSpaceTimer;
    beast::flat_buffer m_buffer;
    std::deque<PendingRequestPtr> m_pending;
    bool m_receiving = false;
    bool m_writing = false;
    /// No further request is taken.
    bool m_closing = false;
    bool m_timedOut = false;
};

} // namespace lacewingsail::internal
