#pragma once

#include "RequestState.h"

#include <deque>
#include <list>
#include <memory>
#include <set>

namespace lacewingsail::internal {

class CallerConnection;

/// \brief Connections in the order in which they became idle.
using IdleOrder = std::list<CallerConnection*>;

/// \brief All open connections of callers, and the planned stop if one has begun.
struct CallerConnections {
    std::set<std::shared_ptr<CallerConnection>> open;
    /// Idle connections that have not carried a request yet.
    IdleOrder unused;
    /// Idle connections that have carried requests.
    IdleOrder used;
    std::optional<PlannedStop> plannedStop;
};

/// \brief Closes the connection that has been idle the longest, preferably one that has not carried a request.
/// \returns false if none has been idle for long enough that no request is to be expected on it.
bool closeLongestIdle(CallerConnections&);

/// \brief One connection of a caller. Pipelined requests are served concurrently; responses are sent in request order.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(RequestServices&, CallerConnections&, net::ip::tcp::socket);

    /// \brief Reads requests until the connection ends. The object keeps itself alive until then.
    void start();

    /// \returns whether no request is being received or served and no response is being sent.
    bool isIdle() const { return m_pending.empty() && !m_receiving; }

    /// \brief Closes the connection if it is idle, no request has arrived and it was not opened a moment ago.
    void closeIfIdle();

    /// \returns whether the connection has been idle for so long that no request is to be expected in this moment.
    bool isLongIdle() const;

    /// \brief Closes an idle connection at once unless a request has arrived meanwhile, and takes it from the idle ones.
    /// \returns whether it was closed.
    bool closeAtOnce();

    /// \brief Ends all requests that are unfinished, so that the responses behind them are sent too.
    void endRequests();

    /// \brief Logs each request whose response has not been sent completely.
    void logUnanswered() const;

private:
    /// \brief A received request, and its response once that is available.
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
    bool closesBeforeNextRequest();
    void enqueueRequest(std::shared_ptr<RequestState>);
    /// \returns whether the request was refused.
    bool refuseBeforeBody(const std::shared_ptr<RequestState>&, bool keepsConnection);
    void finishRequest(PendingRequest&, RequestResult);
    void rejectRequest(ResultCode, const std::string& requestId);
    void writeInterimResponse();
    void writeNextResponse();
    void onResponseWritten(const boost::system::error_code&);
    void onCallerDisconnected();
    void closeIdle();
    void beginClosing();
    void unregisterIfDone();
    void updateIdleOrder();
    void leaveIdleOrder();
    void startTimer(Duration);
    CallerLimits limits() const;
    Duration idleTimeout() const;

    RequestServices& m_services;
    CallerConnections& m_connections;
    MonotonicTime m_acceptedAt;
    net::ip::tcp::socket m_socket;
    net::steady_timer m_timer;
    /// Cancelled to wake the reader when the queue has space for further requests.
    net::steady_timer m_queueSpaceTimer;
    beast::flat_buffer m_buffer;
    std::deque<PendingRequestPtr> m_pending;
    /// The list that the connection is in while it is idle, and its place there.
    IdleOrder* m_idleOrder = nullptr;
    IdleOrder::iterator m_idlePosition;
    MonotonicTime m_idleSince {};
    /// Whether it has carried a request.
    bool m_used = false;
    bool m_receiving = false;
    bool m_writing = false;
    /// The caller waits to be told that it may send the body of its request.
    bool m_interimResponseDue = false;
    /// No further requests are accepted.
    bool m_closing = false;
    bool m_timedOut = false;
    /// The connection is to be closed unless a request has arrived.
    bool m_idleCloseDue = false;
    bool m_readerEnded = false;
    /// When reading ends after the last response.
    std::optional<MonotonicTime> m_lingerEndsAt;
    /// Whether data that came after the last response has been discarded and logged.
    bool m_discarded = false;
};

} // namespace lacewingsail::internal
