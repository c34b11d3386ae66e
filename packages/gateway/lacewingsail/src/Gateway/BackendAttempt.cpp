#include "BackendAttempt.h"

#include "HopByHopHeaders.h"

#include <algorithm>
#include <charconv>

namespace lacewingsail::internal {

namespace {

    constexpr std::uint32_t largestAnswerHeader = 64 * 1024;
    // The largest answer that a host takes whole into its memory.
    constexpr std::uint64_t largestAnswer = 64 * 1024 * 1024;
    // Many round trips between zones (2 ms) and a few times what opening a connection to a full server takes.
    constexpr std::chrono::milliseconds connectTimeout { 250 };
    // Unacknowledged bytes for this long mean that the way to the server is cut: two retransmissions were lost too.
    constexpr unsigned unacknowledgedMilliseconds = 700;
    // A request that may not be repeated goes over a connection whose both ways have just worked, or over a new one.
    constexpr std::chrono::milliseconds provenConnection { 500 };
    constexpr std::chrono::seconds keptConnection { 30 };
    // Used where the server states no timeout of its own.
    constexpr std::chrono::seconds defaultKeepAlive { 5 };
    constexpr int mostStaleAnswers = 3;
    constexpr std::chrono::milliseconds fullBackOff { 200 };
    constexpr std::chrono::seconds misdirectedBackOff { 3 };
    constexpr unsigned misdirectedStatus = 421;

    using AnswerParser = http::response_parser<http::string_body>;

    /// \brief Counts a request as under way at a server for as long as it exists.
    class InFlight {
    public:
        explicit InFlight(BackendStatePtr state)
            : m_state(std::move(state))
        {
            m_state->localStats.inFlight += 1;
        }
        ~InFlight() { m_state->localStats.inFlight -= 1; }
        InFlight(const InFlight&) = delete;
        InFlight& operator=(const InFlight&) = delete;

    private:
        BackendStatePtr m_state;
    };

    /// \brief Has an attempt given up once it is stalled and another server is ready to take over.
    class StallWatch {
    public:
        StallWatch(RequestServices& services, const BackendConnectionPtr& connection, StallPolicy stallPolicy)
            : m_timer(services.context)
            , m_state(std::make_shared<State>(State::Waiting))
        {
            if (!stallPolicy.onStall)
                return;
            m_timer.expires_at(stallPolicy.stallDeadline);
            m_timer.async_wait([weak = std::weak_ptr(connection), state = m_state, onStall = std::move(stallPolicy.onStall)](const boost::system::error_code& error) {
                if (error)
                    return;
                // The other server is found later: by then the connection may serve another request.
                onStall([weak, state] {
                    const auto open = weak.lock();
                    if (!open || *state != State::Waiting)
                        return false;
                    *state = State::GivenUp;
                    open->stream.cancel();
                    return true;
                });
            });
        }
        ~StallWatch()
        {
            if (*m_state == State::Waiting)
                *m_state = State::Over;
        }
        StallWatch(const StallWatch&) = delete;
        StallWatch& operator=(const StallWatch&) = delete;

        bool gaveUp() const { return *m_state == State::GivenUp; }

    private:
        enum class State {
            Waiting,
            GivenUp,
            Over,
        };

        net::steady_timer m_timer;
        std::shared_ptr<State> m_state;
    };

    bool mayRepeat(const RequestState& request) { return request.route->repeatable; }

    net::awaitable<BackendConnectionPtr> connect(RequestServices& services, RequestState& request, BackendState& server, MonotonicTime until)
    {
        auto connection = std::make_shared<BackendConnection>(services.context);
        connection->stream.expires_at(std::min(until, services.clock.now() + connectTimeout));
        request.cancelAttempt = [weak = std::weak_ptr(connection)] {
            if (const auto open = weak.lock())
                open->stream.cancel();
        };
        boost::system::error_code error;
        const auto address = net::ip::make_address(server.registration.endpoint.address, error);
        if (!error)
            co_await connection->stream.async_connect(net::ip::tcp::endpoint(address, server.registration.endpoint.port), net::redirect_error(net::use_awaitable, error));
        if (error) {
            log(Event("connect-failed").with("request", request.id).with("server", server.registration.id).with("address", text(server.registration.endpoint)).with("reason", error.message()));
            co_return nullptr;
        }
        auto& socket = connection->stream.socket();
        socket.set_option(net::ip::tcp::no_delay(true), error);
        setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMilliseconds, sizeof unacknowledgedMilliseconds);
        co_return connection;
    }

    RequestMessage messageFor(const RequestServices& services, const RequestState& request, const BackendState& server)
    {
        const HeaderNames& names = services.headerNames;
        RequestMessage message = request.message;
        eraseHopByHopFields(message);
        message.erase(http::field::authorization);
        message.erase(http::field::expect);
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - services.clock.now());
        message.set(names.deadline, std::to_string(std::max<std::int64_t>(left.count(), 1)));
        message.set(names.expectedServer, server.registration.id.value());
        message.erase(names.account);
        if (request.account)
            message.set(names.account, request.account->id.value());
        message.keep_alive(true);
        message.prepare_payload();
        return message;
    }

    Duration keepAliveOf(const ResponseMessage& answer)
    {
        const std::string_view value(answer["Keep-Alive"].data(), answer["Keep-Alive"].size());
        constexpr std::string_view parameter = "timeout=";
        const std::size_t found = value.find(parameter);
        int seconds = 0;
        if (found == std::string_view::npos)
            return defaultKeepAlive;
        const std::string_view digits = value.substr(found + parameter.size());
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
        return error == std::errc {} ? Duration(std::chrono::seconds(seconds)) : Duration(defaultKeepAlive);
    }

    /// \brief A whole answer as read, and what it says of the connection.
    struct WholeAnswer {
        ResponseMessage message;
        bool keepsConnection = false;
    };

    // Reads answers until one that is not an interim one.
    net::awaitable<std::optional<WholeAnswer>> readAnswer(BackendConnection& connection, http::verb method, boost::system::error_code& error)
    {
        for (;;) {
            AnswerParser parser;
            parser.header_limit(largestAnswerHeader);
            parser.body_limit(largestAnswer);
            parser.skip(method == http::verb::head);
            co_await http::async_read(connection.stream, connection.buffer, parser, net::redirect_error(net::use_awaitable, error));
            if (error)
                co_return std::nullopt;
            const unsigned status = parser.get().result_int();
            if (status >= 100 && status < 200 && status != static_cast<unsigned>(http::status::switching_protocols))
                continue;
            WholeAnswer whole;
            whole.keepsConnection = parser.keep_alive() && !parser.need_eof();
            whole.message = parser.release();
            co_return whole;
        }
    }

    // An answer to an earlier request may still come first on a kept connection.
    bool belongsToAnother(const HeaderNames& names, const RequestState& request, const ResponseMessage& answer)
    {
        const auto id = answer[names.requestId];
        return !id.empty() && id != request.id;
    }

    net::awaitable<std::optional<WholeAnswer>> readOwnAnswer(const RequestServices& services, const RequestState& request, BackendConnection& connection, boost::system::error_code& error)
    {
        for (int stale = 0; stale <= mostStaleAnswers; ++stale) {
            auto whole = co_await readAnswer(connection, request.message.method(), error);
            if (error || !whole || !belongsToAnother(services.headerNames, request, whole->message))
                co_return whole;
            log(Event("response-id-mismatch").with("request", request.id).with("received_id", whole->message[services.headerNames.requestId]));
            if (!whole->keepsConnection)
                break;
        }
        error = http::error::unexpected_body;
        co_return std::nullopt;
    }

    bool isSuccess(const ResponseMessage& answer) { return answer.result_int() >= 200 && answer.result_int() < 300; }

    // A success counts only as the server itself signed it, with the bytes that it sent.
    bool isWrong(const HeaderNames& names, const ResponseMessage& answer)
    {
        if (answer[names.requestId].empty())
            return true;
        return isSuccess(answer) && (answer[names.signature].empty() || answer.count(http::field::content_encoding) != 0);
    }

    void recordOutcome(RequestServices& services, BackendState& server, AttemptStatus end, unsigned status, MonotonicTime begunAt)
    {
        services.backends.decayLocalStats(server);
        const std::chrono::duration<double, std::milli> took = services.clock.now() - begunAt;
        if (end == AttemptStatus::Answered && status < 500) {
            server.localStats.answered += 1;
            server.localStats.totalAnswerMs += took.count();
            lacewingsail::recordOutcome(server.failureEstimate, false, services.clock.now());
        } else if (end != AttemptStatus::NotRun) {
            server.localStats.failed += 1;
            lacewingsail::recordOutcome(server.failureEstimate, true, services.clock.now());
        }
    }

    /// \returns the requests that the server says to have, the one that it has just answered included.
    std::optional<double> reportedLoad(const HeaderNames& names, const ResponseMessage& answer)
    {
        const auto field = answer[names.load];
        const auto load = field.empty() ? std::nullopt : names.parseLoad({ field.data(), field.size() });
        return load ? std::optional<double>(load->running + load->waiting) : std::nullopt;
    }

    PlacementOutcome outcomeOf(PlacementStatus end, const RequestServices& services, MonotonicTime begunAt)
    {
        PlacementOutcome outcome;
        outcome.status = end;
        outcome.duration = std::chrono::duration_cast<std::chrono::milliseconds>(services.clock.now() - begunAt);
        return outcome;
    }

    AttemptReport reportOf(RequestServices& services, const RequestState& request, BackendState& server, ResponseMessage answer, MonotonicTime begunAt)
    {
        const HeaderNames& names = services.headerNames;
        const MonotonicTime now = services.clock.now();
        const auto load = reportedLoad(names, answer);
        // The server counts all that it has; what this host has there is known better.
        if (load)
            server.remoteStats.inFlight = std::max(0.0, *load - server.localStats.inFlight);
        recordConnectSuccess(server);
        AttemptReport report;
        report.outcome = outcomeOf(PlacementStatus::Failed, services, begunAt);
        if (load)
            report.outcome.reportedLoad = std::max(0.0, *load - 1);
        if (!answer[names.notRun].empty() || answer.result_int() == misdirectedStatus) {
            const bool misdirected = answer.result_int() == misdirectedStatus;
            server.overloadedUntil = now + (misdirected ? Duration(misdirectedBackOff) : Duration(fullBackOff));
            recordOutcome(services, server, AttemptStatus::NotRun, answer.result_int(), begunAt);
            log(Event("server-refused").with("request", request.id).with("server", server.registration.id).with("status", static_cast<long long>(answer.result_int())));
            report.outcome.status = misdirected ? PlacementStatus::Failed : PlacementStatus::Refused;
            report.status = AttemptStatus::NotRun;
            report.code = ResultCode::Overloaded;
            return report;
        }
        if (isWrong(names, answer)) {
            recordOutcome(services, server, AttemptStatus::Unknown, answer.result_int(), begunAt);
            report.status = AttemptStatus::Unknown;
            report.code = ResultCode::UpstreamWrongAnswer;
            return report;
        }
        recordOutcome(services, server, AttemptStatus::Answered, answer.result_int(), begunAt);
        if (answer.result_int() >= 500)
            log(Event("server-error-response").with("request", request.id).with("server", server.registration.id).with("status", static_cast<long long>(answer.result_int())));
        else
            report.outcome.status = PlacementStatus::Succeeded;
        report.status = AttemptStatus::Answered;
        report.code = ResultCode::Ok;
        report.response = std::move(answer);
        return report;
    }

    AttemptReport brokenOff(RequestServices& services, const RequestState& request, BackendState& server, const boost::system::error_code& error, MonotonicTime begunAt)
    {
        const bool timedOut = error == beast::error::timeout;
        AttemptReport report;
        report.status = AttemptStatus::Unknown;
        report.code = timedOut ? ResultCode::UpstreamTimeout : ResultCode::UpstreamBroken;
        if (!request.callerDisconnected) {
            const bool unreached = error == boost::system::errc::timed_out;
            report.outcome = outcomeOf(unreached ? PlacementStatus::Unreachable : PlacementStatus::Failed, services, begunAt);
            // Bytes that the server did not acknowledge say something about the way to it, not about the server.
            if (unreached)
                recordConnectFailure(server, services.clock.now());
            else
                recordOutcome(services, server, AttemptStatus::Unknown, 0, begunAt);
            log(Event("attempt-failed").with("request", request.id).with("server", server.registration.id).with("reason", error.message()).with("took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(services.clock.now() - begunAt).count()));
        }
        return report;
    }

} // namespace

net::awaitable<AttemptReport> attempt(RequestServices& services, std::shared_ptr<RequestState> request, BackendStatePtr server, StallPolicy stallPolicy)
{
    const MonotonicTime until = request->deadline;
    const InFlight inFlight(server);
    const Duration mostIdle = mayRepeat(*request) ? Duration(keptConnection) : Duration(provenConnection);
    BackendConnectionPtr connection = takeIdleConnection(*server, services.clock.now(), mostIdle);
    if (!connection)
        connection = co_await connect(services, *request, *server, until);
    if (!connection) {
        AttemptReport report;
        if (!request->callerDisconnected) {
            recordConnectFailure(*server, services.clock.now());
            report.outcome.status = PlacementStatus::Unreachable;
        }
        co_return report;
    }
    // The server may have begun to leave, and the caller may have gone, while the connection was opened.
    if (!server->acceptsRequests || request->callerDisconnected)
        co_return AttemptReport { AttemptStatus::NotSent, ResultCode::NoBackendServer, {}, {} };
    request->cancelAttempt = [weak = std::weak_ptr(connection)] {
        if (const auto open = weak.lock())
            open->stream.cancel();
    };
    const MonotonicTime begunAt = services.clock.now();
    connection->stream.expires_at(until);
    request->attemptedServers.push_back(server->registration.id);
    ++request->possibleExecutions;
    // A server may answer before it has read a long body, so that writing goes on beside reading.
    const auto message = std::make_shared<RequestMessage>(messageFor(services, *request, *server));
    const auto written = std::make_shared<bool>(false);
    http::async_write(connection->stream, *message, [message, written, connection](const boost::system::error_code& error, std::size_t) { *written = !error; });
    StallWatch watch(services, connection, std::move(stallPolicy));
    boost::system::error_code error;
    auto whole = co_await readOwnAnswer(services, *request, *connection, error);
    request->cancelAttempt = nullptr;
    if (error || !whole) {
        connection->stream.close();
        co_return brokenOff(services, *request, *server, watch.gaveUp() ? beast::error::timeout : error, begunAt);
    }
    const bool reusable = whole->keepsConnection && *written && connection->buffer.size() == 0;
    if (reusable)
        addIdleConnection(*server, connection, services.clock.now(), keepAliveOf(whole->message));
    else
        connection->stream.close();
    AttemptReport report = reportOf(services, *request, *server, std::move(whole->message), begunAt);
    if (report.status == AttemptStatus::NotRun)
        --request->possibleExecutions;
    co_return report;
}

} // namespace lacewingsail::internal
