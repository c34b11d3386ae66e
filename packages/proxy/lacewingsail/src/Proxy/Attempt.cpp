#include "Attempt.h"

#include <lacewingsail/HttpResponses.h>

#include <algorithm>
#include <charconv>

namespace lacewingsail::internal {

namespace {

    constexpr std::chrono::milliseconds connectTimeout { 500 };
    // Each answer moves the smoothed latency by one part in this many.
    constexpr std::int64_t latencySmoothing = 8;
    constexpr int mostReported = 10'000;
    constexpr std::chrono::milliseconds shedBackOff { 100 };
    constexpr const char* loadField = "X-Load";

    http::request<http::string_body> messageFor(const RequestContext& request, const AttemptTarget& target)
    {
        http::request<http::string_body> message = request.message;
        stripForBackendServer(message);
        message.set(http::field::host, text(target.server->endpoint));
        message.set(requestIdField, request.id.value());
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - request.thread.services.clock.now());
        message.set(deadlineField, std::to_string(std::max<std::int64_t>(left.count(), 0)));
        message.keep_alive(true);
        message.prepare_payload();
        return message;
    }

    net::awaitable<UpstreamConnectionPtr> connect(RequestContext& request, const AttemptTarget& target)
    {
        auto connection = std::make_unique<UpstreamConnection>(request.thread.context);
        connection->stream.expires_after(std::min<Duration>(request.deadline - request.thread.services.clock.now(), connectTimeout));
        request.cancelAttempt = [stream = &connection->stream] { stream->cancel(); };
        const Endpoint& endpoint = target.server->endpoint;
        boost::system::error_code error;
        const auto address = net::ip::make_address(endpoint.address, error);
        if (error)
            co_return nullptr;
        co_await connection->stream.async_connect(net::ip::tcp::endpoint(address, endpoint.port), net::redirect_error(net::use_awaitable, error));
        if (error)
            co_return nullptr;
        connection->stream.socket().set_option(net::ip::tcp::no_delay(true), error);
        co_return connection;
    }

    // A kept connection may be closed by the server at any moment, so that a request which may not be repeated
    // could end up in doubt for no reason; it gets a connection of its own.
    net::awaitable<UpstreamConnectionPtr> connectionFor(RequestContext& request, const AttemptTarget& target)
    {
        if (request.route->repeatable) {
            if (auto kept = request.thread.pool.take(target.load))
                co_return kept;
        }
        co_return co_await connect(request, target);
    }

    bool isWholeByItself(const EmptyParser& parser)
    {
        return parser.chunked() || parser.content_length() || !parser.need_eof();
    }

    AttemptOutcome outcomeOf(const boost::system::error_code& error, const RequestContext& request)
    {
        if (request.callerDisconnected)
            return AttemptOutcome::Cancelled;
        if (std::error_code(error).category() == responseFaultCategory())
            return AttemptOutcome::InvalidResponse;
        return error == beast::error::timeout ? AttemptOutcome::Stalled : AttemptOutcome::ConnectionBroken;
    }

    ResultCode codeOf(AttemptOutcome outcome)
    {
        if (outcome == AttemptOutcome::InvalidResponse)
            return ResultCode::UpstreamWrongAnswer;
        return outcome == AttemptOutcome::Stalled ? ResultCode::UpstreamTimeout : ResultCode::UpstreamBroken;
    }

    // The reason why a response with a valid head is not passed on, or an empty text.
    std::string_view refusalReason(const RequestContext& request, const EmptyParser& parser)
    {
        if (parser.get()[requestIdField] != request.id.value())
            return "id of another request";
        return isWholeByItself(parser) ? "" : "length of the body not stated";
    }

    // Watches the wait for the first byte. Past the bound it reports a stall; a request that may be repeated is then
    // broken off if the budget has a further attempt, all others wait on for their answer.
    class StallWatch {
    public:
        StallWatch(RequestContext& request, const AttemptTarget& target, beast::tcp_stream& stream, MonotonicTime begunAt)
            : m_state(std::make_shared<State>(request.thread.context))
        {
            const std::chrono::microseconds bound(target.timing->stallTimeout.load(std::memory_order_relaxed));
            const bool watches = request.thread.services.settings.strategy == DispatchStrategy::Evidence;
            if (!watches || begunAt + bound >= request.deadline)
                return;
            m_state->timer.expires_after(begunAt + bound - request.thread.services.clock.now());
            m_state->timer.async_wait([state = m_state, &request, &target, &stream, begunAt](const boost::system::error_code& error) {
                if (error || state->ended)
                    return;
                state->stalled = true;
                reportAttempt(request, target, AttemptOutcome::Stalled, begunAt);
                if (request.route->repeatable && !target.last && tryWithdraw(target.timing->retryBudget)) {
                    state->brokenOff = true;
                    stream.cancel();
                }
            });
        }
        ~StallWatch() { end(); }
        StallWatch(const StallWatch&) = delete;
        StallWatch& operator=(const StallWatch&) = delete;

        void end()
        {
            m_state->ended = true;
            m_state->timer.cancel();
        }
        bool stalled() const { return m_state->stalled; }
        bool brokenOff() const { return m_state->brokenOff; }

    private:
        struct State {
            explicit State(net::io_context& context)
                : timer(context)
            {
            }
            net::steady_timer timer;
            bool ended = false;
            bool stalled = false;
            bool brokenOff = false;
        };
        std::shared_ptr<State> m_state;
    };

    // "inflight/slots"; this request, which has just ended, is not counted. What is no number leaves the report alone.
    void takeReport(BackendServerLoad& load, std::string_view report)
    {
        int count = 0;
        const auto [end, error] = std::from_chars(report.data(), report.data() + report.size(), count);
        if (error == std::errc {} && end != report.data() + report.size() && *end == '/')
            load.reportedLoad.store(std::clamp(count - 1, 0, mostReported), std::memory_order_relaxed);
    }

    void smoothLatency(BackendServerLoad& load, std::chrono::microseconds latency)
    {
        // Two threads may lose one of two updates to each other; the average does not mind.
        const std::int64_t before = load.latency.load(std::memory_order_relaxed);
        const std::int64_t after = before == 0 ? latency.count() : before + (latency.count() - before) / latencySmoothing;
        load.latency.store(after, std::memory_order_relaxed);
    }

} // namespace

void reportAttempt(RequestContext& request, const AttemptTarget& target, AttemptOutcome outcome, MonotonicTime begunAt, bool stallAlreadyReported)
{
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(request.thread.services.clock.now() - begunAt);
    if (outcome == AttemptOutcome::Leaving)
        target.load->leaving.store(true, std::memory_order_relaxed);
    if (outcome == AttemptOutcome::Shed) {
        const MonotonicTime until = request.thread.services.clock.now() + shedBackOff;
        target.load->overloadedUntil.store(until.time_since_epoch().count(), std::memory_order_relaxed);
    }
    // A stall is left to the detection: a choice that shuns the server would keep the evidence from it.
    if (outcome == AttemptOutcome::Answered)
        smoothLatency(*target.load, latency);
    request.thread.services.evidence.observe({ target.service->id, target.server->id, outcome, latency, target.probe, stallAlreadyReported });
}

void recordRefusedResponse(RequestContext& request, const AttemptTarget& target, std::string_view reason)
{
    request.thread.services.journal.record(Event("response-refused").with("request", request.id).with("server", target.server->id).with("reason", reason));
}

net::awaitable<AttemptResult> attempt(RequestContext& request, const AttemptTarget& target)
{
    const MonotonicTime begunAt = request.thread.services.clock.now();
    UnsentAttempt unsent;
    UpstreamConnectionPtr connection = co_await connectionFor(request, target);
    if (!connection) {
        reportAttempt(request, target, request.callerDisconnected ? AttemptOutcome::Cancelled : AttemptOutcome::ConnectFailed, begunAt);
        co_return std::move(unsent).refuse(ResultCode::ConnectFailed);
    }
    request.cancelAttempt = [stream = &connection->stream] { stream->cancel(); };
    connection->stream.expires_after(request.deadline - request.thread.services.clock.now());

    const auto message = messageFor(request, target);
    SentAttempt sent = std::move(unsent).send();
    boost::system::error_code error;
    co_await http::async_write(connection->stream, message, net::redirect_error(net::use_awaitable, error));
    StallWatch watch(request, target, connection->stream, begunAt);
    std::unique_ptr<EmptyParser> parser;
    if (!error)
        parser = co_await readResponseHead<http::empty_body>(connection->stream, connection->buffer, message.method(), std::nullopt, error);
    watch.end();
    const bool stalled = watch.stalled();
    if (watch.brokenOff() && error) {
        request.mayHaveRun = true;
        co_return std::move(sent).fail(ResultCode::UpstreamTimeout);
    }
    if (error) {
        const AttemptOutcome outcome = outcomeOf(error, request);
        if (isRefusal(error))
            recordRefusedResponse(request, target, error.message());
        reportAttempt(request, target, outcome, begunAt, stalled);
        request.mayHaveRun = true;
        co_return std::move(sent).fail(codeOf(outcome));
    }
    if (const std::string_view reason = refusalReason(request, *parser); !reason.empty()) {
        recordRefusedResponse(request, target, reason);
        reportAttempt(request, target, AttemptOutcome::InvalidResponse, begunAt, false);
        request.mayHaveRun = true;
        co_return std::move(sent).fail(ResultCode::UpstreamWrongAnswer);
    }
    const auto report = parser->get()[loadField];
    takeReport(*target.load, { report.data(), report.size() });
    if (const auto notRun = parser->get()[notRunField]; !notRun.empty()) {
        reportAttempt(request, target, notRun == "leaving" ? AttemptOutcome::Leaving : AttemptOutcome::Shed, begunAt, stalled);
        co_return std::move(sent).refusedByServer(ResultCode::Overloaded);
    }
    reportAttempt(request, target, parser->get().result_int() >= 500 ? AttemptOutcome::Failed : AttemptOutcome::Answered, begunAt, stalled);
    co_return AnswerBegun { std::move(connection), std::move(parser) };
}

} // namespace lacewingsail::internal
