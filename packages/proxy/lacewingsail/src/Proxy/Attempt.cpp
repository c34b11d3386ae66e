#include "Attempt.h"

#include <algorithm>

namespace lacewingsail::internal {

namespace {

    constexpr std::uint32_t largestAnswerHeader = 64 * 1024;

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
        connection->stream.expires_at(request.deadline);
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

    std::unique_ptr<EmptyParser> newParser(http::verb method)
    {
        auto parser = std::make_unique<EmptyParser>();
        parser->header_limit(largestAnswerHeader);
        parser->body_limit(boost::none);
        parser->skip(method == http::verb::head);
        return parser;
    }

    // An interim answer (1xx) precedes the answer itself. The fleet never asks to switch protocols.
    bool isInterim(const EmptyParser& parser)
    {
        const unsigned status = parser.get().result_int();
        return status >= 100 && status < 200 && status != static_cast<unsigned>(http::status::switching_protocols);
    }

    AttemptOutcome outcomeOf(const boost::system::error_code& error, const RequestContext& request)
    {
        if (request.callerGone)
            return AttemptOutcome::Cancelled;
        return error == beast::error::timeout ? AttemptOutcome::Stalled : AttemptOutcome::Broken;
    }

    ResultCode codeOf(AttemptOutcome outcome)
    {
        return outcome == AttemptOutcome::Stalled ? ResultCode::UpstreamTimeout : ResultCode::UpstreamBroken;
    }

} // namespace

void reportAttempt(RequestContext& request, const AttemptTarget& target, AttemptOutcome outcome, MonotonicTime begunAt)
{
    const bool surelyNotRun = outcome == AttemptOutcome::ConnectFailed || outcome == AttemptOutcome::Shed || outcome == AttemptOutcome::Leaving;
    request.mayHaveRun = request.mayHaveRun || !surelyNotRun;
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(request.thread.services.clock.now() - begunAt);
    request.thread.services.evidence.observe({ target.service->id, target.server->id, outcome, latency });
}

net::awaitable<AttemptResult> attempt(RequestContext& request, const AttemptTarget& target)
{
    const MonotonicTime begunAt = request.thread.services.clock.now();
    UnsentAttempt unsent;
    UpstreamConnectionPtr connection = co_await connectionFor(request, target);
    if (!connection) {
        reportAttempt(request, target, request.callerGone ? AttemptOutcome::Cancelled : AttemptOutcome::ConnectFailed, begunAt);
        co_return std::move(unsent).refuse(ResultCode::ConnectFailed);
    }
    request.cancelAttempt = [stream = &connection->stream] { stream->cancel(); };
    connection->stream.expires_at(request.deadline);

    const auto message = messageFor(request, target);
    SentAttempt sent = std::move(unsent).send();
    boost::system::error_code error;
    co_await http::async_write(connection->stream, message, net::redirect_error(net::use_awaitable, error));
    std::unique_ptr<EmptyParser> parser;
    do {
        parser = newParser(message.method());
        if (!error)
            co_await http::async_read_header(connection->stream, connection->buffer, *parser, net::redirect_error(net::use_awaitable, error));
    } while (!error && isInterim(*parser));
    if (error) {
        const AttemptOutcome outcome = outcomeOf(error, request);
        reportAttempt(request, target, outcome, begunAt);
        co_return std::move(sent).fail(codeOf(outcome));
    }
    if (parser->get()[requestIdField] != request.id.value() || !isWholeByItself(*parser)) {
        reportAttempt(request, target, AttemptOutcome::Wrong, begunAt);
        co_return std::move(sent).fail(ResultCode::UpstreamWrongAnswer);
    }
    if (const auto notRun = parser->get()[notRunField]; !notRun.empty()) {
        reportAttempt(request, target, notRun == "leaving" ? AttemptOutcome::Leaving : AttemptOutcome::Shed, begunAt);
        co_return std::move(sent).refusedByServer(ResultCode::Overloaded);
    }
    reportAttempt(request, target, parser->get().result_int() >= 500 ? AttemptOutcome::Failed : AttemptOutcome::Answered, begunAt);
    co_return AnswerBegun { std::move(connection), std::move(parser) };
}

} // namespace lacewingsail::internal
