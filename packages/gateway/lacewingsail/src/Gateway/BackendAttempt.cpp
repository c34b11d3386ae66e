#include "BackendAttempt.h"

#include "ConnectionDeadline.h"
#include "HopByHopHeaders.h"

#include <lacewingsail/HttpResponses.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace lacewingsail::internal {

namespace {

    // Many round trips between zones (2 ms), and several times what connecting to a server at full load takes.
    constexpr std::chrono::milliseconds connectTimeout { 250 };
    // Data unacknowledged for this long means that the network path is down: two retransmissions were lost as well.
    constexpr unsigned tcpUserTimeoutMs = 700;
    // Requests that are not repeatable use connections that worked in both directions this recently, or new ones.
    constexpr std::chrono::milliseconds maxIdleUnrepeatable { 500 };
    constexpr std::chrono::seconds maxIdleRepeatable { 30 };
    // Assumed if the server states no timeout in Keep-Alive.
    constexpr std::chrono::seconds defaultKeepAlive { 5 };
    constexpr int maxStaleResponses = 3;
    constexpr std::chrono::milliseconds overloadBackOff { 200 };
    constexpr std::chrono::seconds misdirectedBackOff { 3 };
    constexpr unsigned misdirectedStatus = 421;
    // By these statuses callers learn that their request did not run.
    constexpr std::array notRunStatuses { 408U, misdirectedStatus, 429U, 503U };

    /// \brief Counts a request as in flight at a server for the lifetime of the object.
    class InFlightGuard {
    public:
        explicit InFlightGuard(BackendStatePtr state)
            : m_state(std::move(state))
        {
            m_state->localStats.inFlight += 1;
        }
        ~InFlightGuard() { m_state->localStats.inFlight -= 1; }
        InFlightGuard(const InFlightGuard&) = delete;
        InFlightGuard& operator=(const InFlightGuard&) = delete;

    private:
        BackendStatePtr m_state;
    };

    /// \brief Lets a stalled attempt be abandoned once another server has been found for the request.
    class StallWatch {
    public:
        StallWatch(RequestServices& services, const BackendConnectionPtr& connection, StallPolicy stallPolicy)
            : m_timer(services.context)
            , m_state(std::make_shared<State>(State::Waiting))
        {
            if (!stallPolicy.onStall)
                return;
            m_timer.expires_after(stallPolicy.stallDeadline - services.clock.now());
            m_timer.async_wait([weak = std::weak_ptr(connection), state = m_state, onStall = std::move(stallPolicy.onStall)](const boost::system::error_code& error) {
                if (error)
                    return;
                // Finding another server takes time: by then the connection may carry another request, so the state is
                // checked.
                onStall([weak, state] {
                    const auto locked = weak.lock();
                    if (!locked || *state != State::Waiting)
                        return false;
                    *state = State::Abandoned;
                    locked->stream.close();
                    return true;
                });
            });
        }
        ~StallWatch()
        {
            if (*m_state == State::Waiting)
                *m_state = State::Ended;
        }
        StallWatch(const StallWatch&) = delete;
        StallWatch& operator=(const StallWatch&) = delete;

        bool abandoned() const { return *m_state == State::Abandoned; }

    private:
        enum class State {
            Waiting,
            Abandoned,
            Ended,
        };

        net::steady_timer m_timer;
        std::shared_ptr<State> m_state;
    };

    /// \brief A new connection, or null and whether this host lacks the means for one.
    struct ConnectResult {
        BackendConnectionPtr connection;
        bool hostExhausted = false;
    };

    bool isHostExhausted(const boost::system::error_code& error)
    {
        namespace errc = boost::system::errc;
        return error == errc::too_many_files_open || error == errc::too_many_files_open_in_system || error == errc::no_buffer_space || error == errc::not_enough_memory || error == errc::address_not_available;
    }

    bool isRepeatable(const RequestState& request) { return request.route->repeatable; }

    net::awaitable<ConnectResult> connect(RequestServices& services, RequestState& request, BackendState& server, MonotonicTime deadline)
    {
        auto connection = services.backends.makeConnection(services.context);
        if (!connection) {
            log(Event("connect-failed").with("request", request.id).with("server", server.registration.id).with("address", text(server.registration.endpoint)).with("reason", "connection-limit"));
            co_return ConnectResult { nullptr, true };
        }
        connection->stream.expires_after(std::min<Duration>(deadline - services.clock.now(), connectTimeout));
        request.cancelAttempt = [weak = std::weak_ptr(connection)] {
            if (const auto locked = weak.lock())
                locked->stream.close();
        };
        const MonotonicTime connectedFrom = services.clock.now();
        boost::system::error_code error;
        const auto address = net::ip::make_address(server.registration.endpoint.address, error);
        if (!error)
            co_await connection->stream.async_connect(net::ip::tcp::endpoint(address, server.registration.endpoint.port), net::redirect_error(net::use_awaitable, error));
        if (error) {
            log(Event("connect-failed").with("request", request.id).with("server", server.registration.id).with("address", text(server.registration.endpoint)).with("reason", error.message()));
            co_return ConnectResult { nullptr, isHostExhausted(error) };
        }
        services.backends.recordConnectTime(server.registration.zone, services.clock.now() - connectedFrom);
        auto& socket = connection->stream.socket();
        socket.set_option(net::ip::tcp::no_delay(true), error);
        setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeoutMs, sizeof tcpUserTimeoutMs);
        co_return ConnectResult { std::move(connection), false };
    }

    RequestMessage messageFor(const RequestServices& services, const RequestState& request, const BackendState& server)
    {
        const HeaderNames& names = services.headerNames;
        RequestMessage message = request.message;
        eraseHopByHopFields(message);
        message.erase(http::field::authorization);
        message.erase(http::field::expect);
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - services.clock.now());
        message.set(names.deadline, std::to_string(std::max<std::int64_t>(remaining.count(), 1)));
        message.set(names.expectedServer, server.registration.id.value());
        message.erase(names.account);
        if (request.account)
            message.set(names.account, request.account->id.value());
        message.keep_alive(true);
        message.prepare_payload();
        return message;
    }

    Duration keepAliveTimeout(const ResponseMessage& response)
    {
        const std::string_view value(response["Keep-Alive"].data(), response["Keep-Alive"].size());
        constexpr std::string_view parameter = "timeout=";
        const std::size_t found = value.find(parameter);
        int seconds = 0;
        if (found == std::string_view::npos)
            return defaultKeepAlive;
        const std::string_view digits = value.substr(found + parameter.size());
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
        return error == std::errc {} ? Duration(std::chrono::seconds(seconds)) : Duration(defaultKeepAlive);
    }

    /// \brief A complete response, and whether the connection can be reused after it.
    struct CompleteResponse {
        ResponseMessage message;
        bool keepsConnection = false;
    };

    /// \brief How far the sending of a request has got.
    struct SendState {
        bool complete = false;
        boost::system::error_code error;
    };

    // Reads step by step, as the memory for all responses together is limited.
    net::awaitable<std::optional<CompleteResponse>> readOneResponse(MessageBuffers& buffers, BackendConnection& connection, http::verb method, const boost::system::error_code& sendError, boost::system::error_code& error)
    {
        MessageBuffers::Reservation reservation(buffers);
        const auto parser = co_await readResponseHead<http::string_body>(connection.stream, connection.buffer, method, buffers.maxBytes(), error);
        if (error)
            co_return std::nullopt;
        parser->eager(true);
        while (!parser->is_done() && !error) {
            co_await readResponseBody(connection.stream, connection.buffer, *parser, sendError, error);
            if (!error && !reservation.resize(parser->get().body().size() + connection.buffer.size()))
                error = http::error::body_limit;
        }
        if (error)
            co_return std::nullopt;
        const bool keepsConnection = parser->keep_alive() && !parser->need_eof();
        co_return CompleteResponse { parser->release(), keepsConnection };
    }

    // A response belongs to the request whose id it repeats. With several ids it belongs to none.
    bool namesRequest(const HeaderNames& names, const RequestState& request, const ResponseMessage& response)
    {
        return !request.id.empty() && response.count(names.requestId) == 1 && response[names.requestId] == request.id;
    }

    // On a reused connection a late response to an earlier request may arrive first, and it may lack an id.
    bool isStale(const HeaderNames& names, const RequestState& request, const BackendConnection& connection, const ResponseMessage& response)
    {
        if (namesRequest(names, request, response))
            return false;
        const auto id = response[names.requestId];
        return connection.reused || (!id.empty() && id != request.id);
    }

    // What a server says of itself holds whichever request the response belongs to, unless another server has its address.
    void recordStatements(RequestServices& services, const RequestState& request, BackendState& server, const ResponseMessage& response)
    {
        if (response.result_int() == misdirectedStatus)
            return;
        if (response[services.headerNames.leaving] == "1" && !server.leaving) {
            services.backends.recordLeaving(server);
            log(Event("server-leaving").with("request", request.id).with("server", server.registration.id));
        }
        const auto retryAfter = response[http::field::retry_after];
        if (response.result() != http::status::service_unavailable || retryAfter.empty())
            return;
        const auto period = parseRefusalPeriod({ retryAfter.data(), retryAfter.size() });
        if (!period) {
            log(Event("retry-after-malformed").with("server", server.registration.id).with("value", std::string_view(retryAfter.data(), retryAfter.size())));
            return;
        }
        server.refusesUntil = std::max(server.refusesUntil, services.clock.now() + *period);
        log(Event("server-refuses").with("request", request.id).with("server", server.registration.id).with("period_ms", static_cast<long long>(period->count())));
    }

    net::awaitable<std::optional<CompleteResponse>> readMatchingResponse(RequestServices& services, const RequestState& request, BackendState& server, BackendConnection& connection, const SendState& sent, boost::system::error_code& error)
    {
        for (int stale = 0; stale <= maxStaleResponses; ++stale) {
            auto complete = co_await readOneResponse(services.responseBuffers, connection, request.message.method(), sent.error, error);
            if (error || !complete)
                co_return complete;
            recordStatements(services, request, server, complete->message);
            if (!isStale(services.headerNames, request, connection, complete->message)) {
                // After a late response a further one may follow.
                complete->keepsConnection = complete->keepsConnection && stale == 0;
                co_return complete;
            }
            log(Event("response-id-mismatch").with("request", request.id).with("received_id", complete->message[services.headerNames.requestId]));
            if (!complete->keepsConnection)
                break;
        }
        error = http::error::unexpected_body;
        co_return std::nullopt;
    }

    bool isSuccess(const ResponseMessage& response) { return response.result_int() >= 200 && response.result_int() < 300; }

    // No status states by itself that the request did not run.
    bool statesNotRun(const HeaderNames& names, const ResponseMessage& response)
    {
        return response.count(names.notRun) != 0 && response.result_int() >= 400;
    }

    // A success must have the server's signature and no content encoding: the body must consist of the bytes that the
    // server sent. A status that tells callers that the request did not run needs the server's statement.
    std::string_view refusalReason(const HeaderNames& names, const ResponseMessage& response)
    {
        if (std::ranges::find(notRunStatuses, response.result_int()) != notRunStatuses.end())
            return "status without the statement that the request was not run";
        if (response.count(names.notRun) != 0)
            return "statement that the request was not run beside a status that it was";
        if (isSuccess(response) && response[names.signature].empty())
            return "no signature";
        return isSuccess(response) && response.count(http::field::content_encoding) != 0 ? "content encoding" : "";
    }

    void recordAttemptOutcome(RequestServices& services, BackendState& server, AttemptStatus attemptStatus, unsigned httpStatus, MonotonicTime startedAt)
    {
        services.backends.decayLocalStats(server);
        const std::chrono::duration<double, std::milli> duration = services.clock.now() - startedAt;
        if (attemptStatus == AttemptStatus::Answered && httpStatus < 500) {
            server.localStats.answered += 1;
            server.localStats.totalAnswerMs += duration.count();
            lacewingsail::recordOutcome(server.failureEstimate, false, services.clock.now());
            recordRefusal(services.backends.refusals(server.registration.service), server.refusals, false, services.clock.now());
        } else if (attemptStatus != AttemptStatus::NotRun) {
            server.localStats.failed += 1;
            lacewingsail::recordOutcome(server.failureEstimate, true, services.clock.now());
        }
    }

    // A refusal by a server with free slots says little of it while all servers of its service refuse alike.
    void recordServerRefusal(RequestServices& services, BackendState& server, MonotonicTime now)
    {
        const bool hasRoom = !server.leaving && server.totalStats().inFlight - 1 < server.registration.slots.value;
        ServiceRefusals& refusals = services.backends.refusals(server.registration.service);
        if (hasRoom) {
            recordRefusalWithRoom(server.failureEstimate, refusedShareOfOthers(refusals, server.refusals, now), now);
            const bool before = refusals.alike;
            recordRefusal(refusals, server.refusals, true, now);
            if (refusals.alike && !before) {
                for (const BackendStatePtr& other : services.backends.serversForService(server.registration.service))
                    forgetRefusals(other->failureEstimate, now);
            }
        }
        if (!hasRoom || !refusesAlike(refusals, now))
            server.overloadedUntil = now + overloadBackOff;
    }

    /// \returns the number of requests that the server reports, including the one that it has just answered.
    std::optional<double> reportedLoad(const HeaderNames& names, const ResponseMessage& response)
    {
        const auto field = response[names.load];
        const auto load = field.empty() ? std::nullopt : names.parseLoad({ field.data(), field.size() });
        return load ? std::optional<double>(load->running + load->waiting) : std::nullopt;
    }

    PlacementOutcome makeOutcome(PlacementStatus status, const RequestServices& services, MonotonicTime startedAt)
    {
        PlacementOutcome outcome;
        outcome.status = status;
        outcome.duration = std::chrono::duration_cast<std::chrono::milliseconds>(services.clock.now() - startedAt);
        return outcome;
    }

    AttemptReport refuseResponse(RequestServices& services, const RequestState& request, BackendState& server, AttemptReport report, const ResponseMessage& response, std::string_view reason, MonotonicTime startedAt)
    {
        log(Event("response-refused").with("request", request.id).with("server", server.registration.id).with("status", static_cast<long long>(response.result_int())).with("reason", reason));
        recordAttemptOutcome(services, server, AttemptStatus::Unknown, response.result_int(), startedAt);
        report.status = AttemptStatus::Unknown;
        report.code = ResultCode::UpstreamWrongAnswer;
        return report;
    }

    AttemptReport reportResponse(RequestServices& services, const RequestState& request, BackendState& server, ResponseMessage response, MonotonicTime startedAt)
    {
        const HeaderNames& names = services.headerNames;
        const MonotonicTime now = services.clock.now();
        recordConnectSuccess(server);
        AttemptReport report;
        report.outcome = makeOutcome(PlacementStatus::Failed, services, startedAt);
        // What the response says, also about whether the request ran, holds only if it belongs to the request.
        if (!namesRequest(names, request, response))
            return refuseResponse(services, request, server, std::move(report), response, "id of another request", startedAt);
        const auto load = reportedLoad(names, response);
        // The reported load covers all hosts; this host knows its own part exactly.
        if (load) {
            server.remoteStats.inFlight = std::max(0.0, *load - server.localStats.inFlight);
            report.outcome.reportedLoad = std::max(0.0, *load - 1);
        }
        if (statesNotRun(names, response)) {
            const bool misdirected = response.result_int() == misdirectedStatus;
            if (misdirected)
                server.overloadedUntil = now + misdirectedBackOff;
            else
                recordServerRefusal(services, server, now);
            recordAttemptOutcome(services, server, AttemptStatus::NotRun, response.result_int(), startedAt);
            log(Event("server-refused").with("request", request.id).with("server", server.registration.id).with("status", static_cast<long long>(response.result_int())));
            report.outcome.status = misdirected ? PlacementStatus::Failed : PlacementStatus::Refused;
            report.status = AttemptStatus::NotRun;
            report.code = ResultCode::Overloaded;
            return report;
        }
        if (const std::string_view reason = refusalReason(names, response); !reason.empty())
            return refuseResponse(services, request, server, std::move(report), response, reason, startedAt);
        recordAttemptOutcome(services, server, AttemptStatus::Answered, response.result_int(), startedAt);
        if (response.result_int() >= 500)
            log(Event("server-error-response").with("request", request.id).with("server", server.registration.id).with("status", static_cast<long long>(response.result_int())));
        else
            report.outcome.status = PlacementStatus::Succeeded;
        report.status = AttemptStatus::Answered;
        report.code = ResultCode::Ok;
        report.response = std::move(response);
        return report;
    }

    AttemptReport reportFailure(RequestServices& services, const RequestState& request, BackendState& server, const boost::system::error_code& error, MonotonicTime startedAt)
    {
        const bool timedOut = error == beast::error::timeout;
        AttemptReport report;
        report.status = AttemptStatus::Unknown;
        report.code = timedOut ? ResultCode::UpstreamTimeout : ResultCode::UpstreamBroken;
        if (!request.cancelled) {
            const bool unreachable = error == boost::system::errc::timed_out;
            report.outcome = makeOutcome(unreachable ? PlacementStatus::Unreachable : PlacementStatus::Failed, services, startedAt);
            // Unacknowledged data (see tcpUserTimeoutMs) indicates a failure of the network path, not of the server.
            if (unreachable)
                recordConnectFailure(server, services.clock.now());
            else
                recordAttemptOutcome(services, server, AttemptStatus::Unknown, 0, startedAt);
            log(Event("attempt-failed").with("request", request.id).with("server", server.registration.id).with("reason", error.message()).with("took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(services.clock.now() - startedAt).count()));
        }
        return report;
    }

} // namespace

net::awaitable<AttemptReport> attempt(RequestServices& services, std::shared_ptr<RequestState> request, BackendStatePtr server, StallPolicy stallPolicy)
{
    const MonotonicTime deadline = request->deadline;
    const InFlightGuard inFlight(server);
    const Duration maxIdleTime = isRepeatable(*request) ? Duration(maxIdleRepeatable) : Duration(maxIdleUnrepeatable);
    BackendConnectionPtr connection = takeIdleConnection(*server, services.clock.now(), maxIdleTime, request->id);
    bool hostExhausted = false;
    if (!connection) {
        ConnectResult result = co_await connect(services, *request, *server, deadline);
        connection = std::move(result.connection);
        hostExhausted = result.hostExhausted;
    }
    if (!connection) {
        AttemptReport report;
        if (hostExhausted) {
            report.status = AttemptStatus::HostExhausted;
            report.code = ResultCode::Overloaded;
        } else if (!request->cancelled) {
            recordConnectFailure(*server, services.clock.now());
            report.outcome.status = PlacementStatus::Unreachable;
        }
        co_return report;
    }
    // Meanwhile the server may have started to drain or to refuse requests, or the request may have been cancelled.
    if (!server->acceptsRequests || services.clock.now() < server->refusesUntil || request->cancelled)
        co_return AttemptReport { AttemptStatus::NotSent, ResultCode::NoBackendServer, {}, {} };
    request->cancelAttempt = [weak = std::weak_ptr(connection)] {
        if (const auto locked = weak.lock())
            locked->stream.close();
    };
    const MonotonicTime startedAt = services.clock.now();
    connection->stream.expires_never();
    const ConnectionDeadline requestDeadline(services.context, connection, deadline - startedAt);
    request->attemptedServers.push_back(server->registration.id);
    ++request->possibleExecutions;
    // Writes and reads concurrently, as a server may respond before it has read a long body.
    const auto message = std::make_shared<RequestMessage>(messageFor(services, *request, *server));
    const auto sent = std::make_shared<SendState>();
    http::async_write(connection->stream, *message, [message, sent, connection](const boost::system::error_code& error, std::size_t) { *sent = { !error, error }; });
    StallWatch watch(services, connection, std::move(stallPolicy));
    boost::system::error_code error;
    auto complete = co_await readMatchingResponse(services, *request, *server, *connection, *sent, error);
    request->cancelAttempt = nullptr;
    if (error || !complete) {
        connection->stream.close();
        co_return reportFailure(services, *request, *server, watch.abandoned() || requestDeadline.expired() ? beast::error::timeout : error, startedAt);
    }
    const Duration keepAlive = keepAliveTimeout(complete->message);
    // Callers do not get fields that Connection names, so that these cannot be what makes a response valid.
    eraseHopByHopFields(complete->message);
    if (statesNotRun(services.headerNames, complete->message))
        recordRefusal(*connection, request->id);
    const bool reusable = complete->keepsConnection && sent->complete && connection->buffer.size() == 0;
    if (reusable)
        addIdleConnection(*server, connection, services.clock.now(), keepAlive);
    else
        connection->stream.close();
    AttemptReport report = reportResponse(services, *request, *server, std::move(complete->message), startedAt);
    report.outcome.serverLeaving = server->leaving;
    if (report.status == AttemptStatus::NotRun)
        --request->possibleExecutions;
    co_return report;
}

} // namespace lacewingsail::internal
