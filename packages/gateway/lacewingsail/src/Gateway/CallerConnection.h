#pragma once

#include "RequestState.h"

#include <deque>
#include <memory>
#include <set>

namespace lacewingsail::internal {

class CallerConnection;

/// \brief All open connections of callers, and the planned stop if one has begun.
struct CallerConnections {
    std::set<std::shared_ptr<CallerConnection>> open;
    std::optional<PlannedStop> plannedStop;
};

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
    void enqueueRequest(RequestMessage, std::shared_ptr<MessageBuffers::Reservation> bodyMemory);
    void finishRequest(PendingRequest&, RequestResult);
    void rejectRequest(ResultCode, const std::string& requestId);
    void writeInterimResponse();
    void writeNextResponse();
    void onResponseWritten(const boost::system::error_code&);
    void onCallerDisconnected();
    void beginClosing();
    void unregisterIfDone();
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
};

} // namespace lacewingsail::internal
