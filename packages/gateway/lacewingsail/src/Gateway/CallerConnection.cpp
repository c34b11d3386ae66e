#include "CallerConnection.h"

#include "HopByHopHeaders.h"

#include <lacewingsail/Http.h>

#include <algorithm>
#include <utility>

namespace lacewingsail::internal {

namespace {

    constexpr std::size_t readChunkBytes = 8 * 1024;
    // Pipelined requests of one connection that are served concurrently.
    constexpr std::size_t maxPendingRequests = 16;
    // After the last response, data from the caller is still read and discarded for this long: closing a socket with
    // unread data would reset the connection, and the response could be lost.
    constexpr std::chrono::milliseconds lingerTime { 700 };
    // A caller that goes on sending is not read for longer than this.
    constexpr std::chrono::seconds maxLingerTime { 10 };
    constexpr std::chrono::seconds bodyTimeout { 20 };
    // Other bodies, whose memory a refused one can get, end within about this time.
    constexpr std::chrono::milliseconds bodyMemoryRetryDelay { 500 };
    // Of a body that is not needed, this much is read to keep the connection: closing it would cost the caller more.
    constexpr std::size_t maxDiscardedBytes = 64 * 1024;
    // Callers reuse a connection for up to four fifths of the configured idle timeout. The margin allows for delays of
    // a slow host.
    constexpr std::chrono::seconds idleMargin { 1 };
    constexpr unsigned tcpUserTimeoutMs = 5000;
    // A caller that has just connected is about to send its first request.
    constexpr std::chrono::milliseconds firstRequestTime { 500 };

    using RequestParser = http::request_parser<http::string_body>;

    const boost::system::error_code bodyMemoryExhausted = boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);

    ResultCode resultCodeFor(const boost::system::error_code& error)
    {
        // What fills the buffer of a connection is the line before a chunk, or the trailer.
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
            return ResultCode::HeaderTooLarge;
        if (error == http::error::body_limit)
            return ResultCode::BodyTooLarge;
        if (error == bodyMemoryExhausted)
            return ResultCode::Overloaded;
        return ResultCode::MalformedRequest;
    }

    bool isConnectionEnd(const boost::system::error_code& error)
    {
        return error == http::error::end_of_stream || error == http::error::partial_message || error.category() == net::error::get_system_category() || error.category() == net::error::get_misc_category();
    }

    // Parses what has arrived together with the header.
    void parseBufferedBody(beast::flat_buffer& buffer, RequestParser& parser, boost::system::error_code& error)
    {
        parser.eager(true);
        if (buffer.size() > 0)
            buffer.consume(parser.put(buffer.data(), error));
        if (error == http::error::need_more)
            error = {};
    }

    // A caller that waits for an interim response may leave its body out, and the end of a chunked one is not known.
    bool isWorthDiscarding(const RequestParser& parser)
    {
        const auto remaining = parser.content_length_remaining();
        return parser.get().keep_alive() && parser.get().count(http::field::expect) == 0 && remaining && *remaining <= maxDiscardedBytes;
    }

    net::awaitable<void> discardBody(net::ip::tcp::socket& socket, beast::flat_buffer& buffer, RequestParser& parser, boost::system::error_code& error)
    {
        while (!parser.is_done() && !error) {
            co_await http::async_read_some(socket, buffer, parser, net::redirect_error(net::use_awaitable, error));
            parser.get().body().clear();
        }
    }

    // Reads step by step, as the memory for all messages together is limited.
    net::awaitable<void> readBody(net::ip::tcp::socket& socket, beast::flat_buffer& buffer, RequestParser& parser, MessageBuffers::Reservation& memory, boost::system::error_code& error)
    {
        while (!parser.is_done() && !error) {
            co_await http::async_read_some(socket, buffer, parser, net::redirect_error(net::use_awaitable, error));
            if (!error && !memory.resize(parser.get().body().size()))
                error = bodyMemoryExhausted;
        }
    }

} // namespace

CallerConnection::CallerConnection(RequestServices& services, CallerConnections& connections, net::ip::tcp::socket socket)
    : m_services(services)
    , m_connections(connections)
    , m_acceptedAt(services.clock.now())
    , m_socket(std::move(socket))
    , m_timer(services.context)
    , m_queueSpaceTimer(services.context)
{
    boost::system::error_code ignored;
    m_socket.set_option(net::ip::tcp::no_delay(true), ignored);
    setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeoutMs, sizeof tcpUserTimeoutMs);
}

CallerLimits CallerConnection::limits() const
{
    const auto& configuration = m_services.active.current();
    return configuration ? configuration->published.limits : CallerLimits {};
}

Duration CallerConnection::idleTimeout() const
{
    const Duration maxTimeout = m_services.active.maxIdleTimeout();
    return (maxTimeout > Duration::zero() ? maxTimeout : Duration(limits().idleTimeout)) + idleMargin;
}

void CallerConnection::start()
{
    m_connections.open.insert(shared_from_this());
    updateIdleOrder();
    net::co_spawn(
        m_services.context, [self = shared_from_this()]() -> net::awaitable<void> { co_await self->read(); }, [self = shared_from_this()](const std::exception_ptr& failure) {
        if (failure)
            log(Event("caller-connection-failed"));
        self->m_readerEnded = true;
        self->unregisterIfDone(); });
}

void CallerConnection::startTimer(Duration timeout)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait([weak = weak_from_this(), timeout](const boost::system::error_code& error) {
        const auto self = weak.lock();
        // A timer that had expired when it was set anew still calls.
        if (error || !self || self->m_timer.expiry() > net::steady_timer::clock_type::now())
            return;
        // While responses are outstanding, cancelling the socket's operations would abort the response that is being
        // written.
        if (!self->m_pending.empty())
            return self->startTimer(timeout);
        if (self->isIdle() && !self->m_closing)
            return self->closeIdle();
        self->m_timedOut = true;
        boost::system::error_code ignored;
        self->m_socket.shutdown(net::socket_base::shutdown_receive, ignored);
        self->m_socket.cancel(ignored);
    });
}

net::awaitable<bool> CallerConnection::waitForData()
{
    while (m_pending.size() >= maxPendingRequests && !m_closing) {
        m_queueSpaceTimer.expires_at(net::steady_timer::time_point::max());
        boost::system::error_code ignored;
        co_await m_queueSpaceTimer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    }
    if (m_closing)
        m_buffer.clear();
    if (m_buffer.size() > 0)
        co_return true;
    if (m_closing && m_pending.empty() && !m_lingerEndsAt)
        m_lingerEndsAt = m_services.clock.now() + maxLingerTime;
    if (m_lingerEndsAt && m_services.clock.now() >= *m_lingerEndsAt)
        co_return false;
    startTimer(m_closing ? Duration(lingerTime) : idleTimeout());
    boost::system::error_code error;
    m_idleCloseDue = false;
    const std::size_t read = co_await m_socket.async_read_some(m_buffer.prepare(readChunkBytes), net::redirect_error(net::use_awaitable, error));
    m_timer.cancel();
    if (error == net::error::operation_aborted && m_idleCloseDue && !m_timedOut) {
        // What has arrived meanwhile is still served.
        if (m_socket.available(error) == 0)
            beginClosing();
        co_return true;
    }
    if (error) {
        // A timeout while responses are outstanding does not mean that the caller has disconnected.
        if (!m_timedOut || m_pending.empty())
            onCallerDisconnected();
        co_return false;
    }
    if (!m_closing)
        m_buffer.commit(read);
    else if (!std::exchange(m_discarded, true))
        log(Event("late-data-discarded").with("bytes", static_cast<long long>(read)).with("planned_stop", m_connections.plannedStop ? "yes" : "no"));
    co_return true;
}

net::awaitable<void> CallerConnection::read()
{
    while (co_await waitForData()) {
        // Discards what follows a closing response; see lingerTime.
        if (m_closing)
            continue;
        m_receiving = true;
        updateIdleOrder();
        const bool complete = co_await readRequest();
        m_receiving = false;
        updateIdleOrder();
        if (!complete && !m_closing)
            break;
    }
}

net::awaitable<bool> CallerConnection::readRequest()
{
    const CallerLimits callerLimits = limits();
    startTimer(callerLimits.requestTimeout);
    // The limit that the buffer had before may have been higher.
    m_buffer.max_size(std::max(m_buffer.size(), callerLimits.headerBytes) + readChunkBytes);
    boost::system::error_code error;
    for (;;) {
        const std::string_view bytes(static_cast<const char*>(m_buffer.data().data()), m_buffer.size());
        const std::size_t size = rawHeaderSize(bytes);
        const bool tooLarge = (size == std::string_view::npos ? bytes.size() : size) > callerLimits.headerBytes;
        const ResultCode code = tooLarge ? ResultCode::HeaderTooLarge : size == std::string_view::npos ? ResultCode::Ok
                                                                                                       : checkRawHeader(bytes.substr(0, size));
        if (code != ResultCode::Ok) {
            rejectRequest(code, {});
            co_return false;
        }
        if (size != std::string_view::npos)
            break;
        m_buffer.commit(co_await m_socket.async_read_some(m_buffer.prepare(readChunkBytes), net::redirect_error(net::use_awaitable, error)));
        if (error) {
            onCallerDisconnected();
            co_return false;
        }
    }
    RequestParser parser;
    parser.header_limit(static_cast<std::uint32_t>(callerLimits.headerBytes) + 1);
    parser.body_limit(callerLimits.bodyBytes);
    co_await http::async_read_header(m_socket, m_buffer, parser, net::redirect_error(net::use_awaitable, error));
    const bool valid = !error && parser.get().version() == 11 && hasUnambiguousFraming(parser.get()) && parser.get().count(http::field::host) == 1 && parser.get().count(http::field::authorization) <= 1 && parser.get().target().starts_with('/');
    // RFC 9110, 9.3.8: a TRACE request has no body.
    const bool unexpectedBody = !error && parser.get().method() == http::verb::trace && !parser.is_done();
    if (!error && (!valid || unexpectedBody))
        error = http::error::bad_field;
    const bool hasBody = !error && !parser.is_done();
    const auto request = std::make_shared<RequestState>();
    if (hasBody)
        parseBufferedBody(m_buffer, parser, error);
    // What has arrived with its header needs no further memory: such a request is refused as one without body is.
    if (!error && !parser.is_done()) {
        startTimer(bodyTimeout);
        const bool keepsConnection = isWorthDiscarding(parser);
        request->message.base() = parser.get().base();
        if (refuseBeforeBody(request, keepsConnection)) {
            parser.get().body().clear();
            if (!m_closing)
                co_await discardBody(m_socket, m_buffer, parser, error);
            if (error)
                onCallerDisconnected();
            co_return !error;
        }
        m_interimResponseDue = parser.get().count(http::field::expect) != 0;
        writeInterimResponse();
    }
    if (hasBody && !error) {
        request->bodyMemory = std::make_shared<MessageBuffers::Reservation>(m_services.requestBuffers);
        if (!request->bodyMemory->resize(parser.get().body().size()))
            error = bodyMemoryExhausted;
        co_await readBody(m_socket, m_buffer, parser, *request->bodyMemory, error);
    }
    m_timer.cancel();
    m_interimResponseDue = false;
    if (error && isConnectionEnd(error)) {
        onCallerDisconnected();
        co_return false;
    }
    if (closesBeforeNextRequest())
        co_return true;
    if (error) {
        rejectRequest(resultCodeFor(error), parser.get()[m_services.headerNames.requestId]);
        co_return false;
    }
    request->message = parser.release();
    enqueueRequest(request);
    co_return true;
}

// During a planned stop the response to the last accepted request closes the connection. What was sent behind it is dropped, as
// if it had not been received: its response could only follow the others, which may outlast the stop.
bool CallerConnection::closesBeforeNextRequest()
{
    if (m_closing)
        return true;
    if (!m_connections.plannedStop || m_pending.empty())
        return false;
    m_pending.back()->closesConnection = true;
    m_closing = true;
    return true;
}

// Callers with a key need the memory for bodies: a request that cannot be served gets its response before its body has arrived.
bool CallerConnection::refuseBeforeBody(const std::shared_ptr<RequestState>& request, bool keepsConnection)
{
    const auto id = request->message[m_services.headerNames.requestId];
    request->id.assign(id.data(), id.size());
    request->arrivedAt = m_services.clock.now();
    if (closesBeforeNextRequest())
        return true;
    auto refusal = refuseByHeader(m_services, *request);
    if (!refusal)
        return false;
    auto pending = std::make_shared<PendingRequest>();
    pending->request = request;
    pending->closesConnection = !keepsConnection;
    m_closing = !keepsConnection;
    finishRequest(*pending, std::move(*refusal));
    m_pending.push_back(std::move(pending));
    writeNextResponse();
    return true;
}

void CallerConnection::enqueueRequest(std::shared_ptr<RequestState> request)
{
    auto pending = std::make_shared<PendingRequest>();
    pending->closesConnection = !request->message.keep_alive();
    const auto id = request->message[m_services.headerNames.requestId];
    request->id.assign(id.data(), id.size());
    request->arrivedAt = m_services.clock.now();
    pending->request = std::move(request);
    m_closing = m_closing || pending->closesConnection;
    m_pending.push_back(pending);
    net::co_spawn(
        m_services.context, [self = shared_from_this(), pending]() -> net::awaitable<void> { co_await self->handleRequest(pending); }, [self = shared_from_this(), pending](const std::exception_ptr& failure) {
        if (!failure)
            return;
        log(Event("request-handler-failed").with("request", pending->request->id));
        if (pending->response)
            return;
        pending->response = makeErrorResponse(self->m_services.headerNames, ResultCode::UpstreamBroken, pending->request->id);
        self->writeNextResponse(); });
}

net::awaitable<void> CallerConnection::handleRequest(PendingRequestPtr pending)
{
    RequestResult result = co_await serveRequest(m_services, pending->request);
    if (pending->response)
        co_return;
    finishRequest(*pending, std::move(result));
    writeNextResponse();
}

void CallerConnection::finishRequest(PendingRequest& pending, RequestResult result)
{
    m_services.metrics.counter("requests_total", "result", entryOf(result.code).name).fetch_add(1, std::memory_order_relaxed);
    const std::string_view account = pending.request->account ? std::string_view(pending.request->account->id.value()) : "(none)";
    m_services.metrics.latency("request_seconds", "account", account).fill(std::chrono::duration_cast<std::chrono::microseconds>(m_services.clock.now() - pending.request->arrivedAt));
    pending.response = std::move(result.response);
}

void CallerConnection::endRequests()
{
    for (const PendingRequestPtr& pending : m_pending) {
        if (!pending->response)
            finishRequest(*pending, endRequest(m_services, *pending->request));
    }
    writeNextResponse();
}

void CallerConnection::rejectRequest(ResultCode code, const std::string& requestId)
{
    if (closesBeforeNextRequest())
        return;
    auto pending = std::make_shared<PendingRequest>();
    pending->request = std::make_shared<RequestState>();
    pending->response = makeErrorResponse(m_services.headerNames, code, requestId, code == ResultCode::Overloaded ? bodyMemoryRetryDelay : std::chrono::milliseconds(0));
    pending->closesConnection = true;
    m_closing = true;
    log(Event("bad-request").with("request", requestId).with("code", code));
    m_pending.push_back(std::move(pending));
    writeNextResponse();
}

// Follows the responses to all earlier requests. Until then the caller waits or sends its body without it.
void CallerConnection::writeInterimResponse()
{
    if (!m_interimResponseDue || m_writing || !m_pending.empty() || m_closing)
        return;
    static constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
    m_interimResponseDue = false;
    m_writing = true;
    net::async_write(m_socket, net::buffer(continueResponse), [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
        self->m_writing = false;
        if (error)
            return self->onCallerDisconnected();
        self->writeNextResponse();
    });
}

void CallerConnection::writeNextResponse()
{
    if (m_pending.empty())
        return writeInterimResponse();
    if (m_writing || !m_pending.front()->response)
        return;
    const PendingRequestPtr pending = m_pending.front();
    if (m_connections.plannedStop && m_pending.size() == 1)
        pending->closesConnection = true;
    auto response = std::make_shared<ResponseMessage>(std::move(*pending->response));
    eraseHopByHopFields(*response);
    response->version(11);
    response->keep_alive(!pending->closesConnection);
    if (pending->closesConnection)
        m_closing = true;
    const bool headerOnly = pending->request->message.method() == http::verb::head;
    if (!headerOnly)
        response->prepare_payload();
    m_writing = true;
    if (headerOnly) {
        auto serializer = std::make_shared<http::response_serializer<http::string_body>>(*response);
        http::async_write_header(m_socket, *serializer, [self = shared_from_this(), response, serializer](const boost::system::error_code& error, std::size_t) { self->onResponseWritten(error); });
        return;
    }
    http::async_write(m_socket, *response, [self = shared_from_this(), response](const boost::system::error_code& error, std::size_t) { self->onResponseWritten(error == http::error::end_of_stream ? boost::system::error_code {} : error); });
}

void CallerConnection::onResponseWritten(const boost::system::error_code& error)
{
    m_writing = false;
    const bool closesConnection = m_pending.front()->closesConnection;
    m_pending.pop_front();
    m_used = true;
    if (error) {
        onCallerDisconnected();
        boost::system::error_code ignored;
        m_socket.close(ignored);
    } else if (closesConnection) {
        // Requests pipelined after a closing response are dropped as if they had not been received.
        onCallerDisconnected();
        m_pending.clear();
        boost::system::error_code ignored;
        m_socket.shutdown(net::socket_base::shutdown_send, ignored);
        startTimer(lingerTime);
    }
    m_queueSpaceTimer.cancel();
    writeNextResponse();
    updateIdleOrder();
    // Idleness begins with the end of the last response.
    if (isIdle() && !m_closing)
        startTimer(idleTimeout());
    unregisterIfDone();
}

void CallerConnection::onCallerDisconnected()
{
    m_closing = true;
    for (const PendingRequestPtr& pending : m_pending) {
        RequestState& request = *pending->request;
        // A request that is not repeatable continues: its effect is wanted even if the caller does not get the
        // response.
        if (pending->response || !request.route || !request.route->repeatable)
            continue;
        request.cancelled = true;
        if (request.cancelPlacement)
            request.cancelPlacement();
        if (request.cancelAttempt)
            request.cancelAttempt();
    }
}

void CallerConnection::closeIfIdle()
{
    if (!isIdle() || m_closing || m_services.clock.now() - m_acceptedAt < firstRequestTime)
        return;
    closeIdle();
}

// The reader closes the connection, as a request may have arrived that it has not been told of yet.
void CallerConnection::closeIdle()
{
    m_idleCloseDue = true;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

void CallerConnection::beginClosing()
{
    m_closing = true;
    boost::system::error_code ignored;
    m_socket.shutdown(net::socket_base::shutdown_send, ignored);
}

bool CallerConnection::isLongIdle() const { return m_services.clock.now() - m_idleSince >= firstRequestTime; }

// The descriptor is needed at once, so that nothing is read after the end of the connection. What has arrived is looked at before,
// as the reader may not have had its turn yet.
bool CallerConnection::closeAtOnce()
{
    leaveIdleOrder();
    boost::system::error_code error;
    m_socket.non_blocking(true, error);
    char byte = 0;
    m_socket.receive(net::buffer(&byte, 1), net::socket_base::message_peek, error);
    if (error != net::error::would_block || !isIdle() || m_closing)
        return false;
    m_closing = true;
    m_socket.close(error);
    m_connections.open.erase(shared_from_this());
    return true;
}

void CallerConnection::updateIdleOrder()
{
    leaveIdleOrder();
    if (!isIdle() || m_closing)
        return;
    m_idleSince = m_services.clock.now();
    m_idleOrder = m_used ? &m_connections.used : &m_connections.unused;
    m_idlePosition = m_idleOrder->insert(m_idleOrder->end(), this);
}

void CallerConnection::leaveIdleOrder()
{
    if (IdleOrder* const order = std::exchange(m_idleOrder, nullptr))
        order->erase(m_idlePosition);
}

bool closeLongestIdle(CallerConnections& connections)
{
    for (const IdleOrder* const order : { &connections.unused, &connections.used }) {
        while (!order->empty() && order->front()->isLongIdle()) {
            if (order->front()->closeAtOnce())
                return true;
        }
    }
    return false;
}

void CallerConnection::logUnanswered() const
{
    long long position = 0;
    for (const PendingRequestPtr& pending : m_pending) {
        const RequestState& request = *pending->request;
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_services.clock.now() - request.arrivedAt);
        Event event("request-unanswered");
        event.with("request", request.id).with("position", position++).with("pending", static_cast<long long>(m_pending.size())).with("age_ms", age.count());
        event.with("attempts", static_cast<long long>(request.attemptedServers.size())).with("possible_executions", request.possibleExecutions);
        event.with("response_ready", pending->response ? "yes" : "no").with("response_being_written", m_writing && pending == m_pending.front() ? "yes" : "no");
        log(event);
    }
}

// A caller that only sends no more still waits for its responses, and requests that are not repeatable go on without a caller.
void CallerConnection::unregisterIfDone()
{
    if (!m_readerEnded || !m_pending.empty())
        return;
    m_timer.cancel();
    leaveIdleOrder();
    m_connections.open.erase(shared_from_this());
}

} // namespace lacewingsail::internal
