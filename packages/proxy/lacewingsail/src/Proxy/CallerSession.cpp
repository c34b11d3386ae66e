#include "CallerSession.h"

#include "Refusal.h"
#include "RequestPath.h"

#include <lacewingsail/Wire.h>

namespace lacewingsail::internal {

namespace {

    constexpr int requestIdBytes = 12;
    // A drained connection that has been idle this long is closed; a balancer that still uses it sends sooner.
    constexpr std::chrono::seconds drainIdleTime { 2 };
    constexpr std::chrono::milliseconds drainCheckInterval { 200 };

    using RequestParser = http::request_parser<http::string_body>;

    class OpenConnection {
    public:
        explicit OpenConnection(SessionControl& control)
            : m_control(control)
        {
            ++m_control.open;
        }
        ~OpenConnection() { --m_control.open; }
        OpenConnection(const OpenConnection&) = delete;
        OpenConnection& operator=(const OpenConnection&) = delete;

    private:
        SessionControl& m_control;
    };

    ResultCode codeOf(const boost::system::error_code& error)
    {
        if (error == http::error::header_limit)
            return ResultCode::HeaderTooLarge;
        if (error == http::error::body_limit)
            return ResultCode::BodyTooLarge;
        if (error == beast::error::timeout)
            return ResultCode::RequestTimeout;
        return ResultCode::MalformedRequest;
    }

    bool isCallersFault(const boost::system::error_code& error)
    {
        return error == beast::error::timeout || (error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream && error != http::error::partial_message);
    }

    // Waits until the next request begins. \returns false if the connection should be closed instead.
    net::awaitable<bool> awaitRequest(RequestThread& thread, SessionControl& control, beast::tcp_stream& caller, const beast::flat_buffer& buffer)
    {
        if (buffer.size() != 0)
            co_return true;
        const Clock& clock = thread.services.clock;
        const MonotonicTime idleSince = clock.now();
        for (;;) {
            net::steady_timer timer(thread.context, drainCheckInterval);
            bool readable = false;
            caller.socket().async_wait(net::socket_base::wait_read, [&timer, &readable](const boost::system::error_code& error) {
                if (!error) {
                    readable = true;
                    timer.cancel();
                }
            });
            boost::system::error_code ignored;
            co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
            caller.socket().cancel(ignored);
            // Lets the cancelled wait run before its captures go out of scope.
            co_await net::post(thread.context, net::use_awaitable);
            if (readable)
                co_return true;
            const Duration idle = clock.now() - idleSince;
            if (idle >= thread.services.settings.limits.idleTimeout || (control.draining && idle >= drainIdleTime))
                co_return false;
        }
    }

    net::awaitable<boost::system::error_code> readRequest(RequestThread& thread, beast::tcp_stream& caller, beast::flat_buffer& buffer, RequestParser& parser)
    {
        const CallerLimits& limits = thread.services.settings.limits;
        boost::system::error_code error;
        parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        parser.body_limit(limits.bodyBytes);
        caller.expires_after(limits.requestTimeout);
        co_await http::async_read_header(caller, buffer, parser, net::redirect_error(net::use_awaitable, error));
        if (error)
            co_return error;
        if (beast::iequals(parser.get()[http::field::expect], "100-continue") && checkRequestHeader(parser.get()) == ResultCode::Ok) {
            http::response<http::empty_body> proceed(http::status::continue_, 11);
            co_await http::async_write(caller, proceed, net::redirect_error(net::use_awaitable, error));
            if (error)
                co_return error;
        }
        co_await http::async_read(caller, buffer, parser, net::redirect_error(net::use_awaitable, error));
        co_return error;
    }

    // Work for a caller who has gone is broken off if it may be repeated; otherwise its end still matters.
    void watchCaller(const std::shared_ptr<RequestContext>& request, beast::tcp_stream& caller)
    {
        caller.socket().async_wait(net::socket_base::wait_read, [request, &caller](const boost::system::error_code& waitError) {
            if (waitError)
                return;
            boost::system::error_code error;
            if (caller.socket().available(error) > 0)
                return;
            if (request->route && !request->route->repeatable)
                return;
            request->callerGone = true;
            if (request->cancelAttempt)
                request->cancelAttempt();
        });
    }

    net::awaitable<bool> serveOne(RequestThread& thread, SessionControl& control, beast::tcp_stream& caller, RequestParser& parser)
    {
        auto request = std::make_shared<RequestContext>(thread, parser.release());
        request->id = RequestId(randomHex(requestIdBytes));
        const bool closing = control.draining || !request->message.keep_alive();
        watchCaller(request, caller);
        const bool keep = co_await serveRequest(*request, caller, closing);
        boost::system::error_code ignored;
        caller.socket().cancel(ignored);
        request->cancelAttempt = nullptr;
        co_return keep;
    }

} // namespace

net::awaitable<void> serveCaller(RequestThread& thread, SessionControl& control, net::ip::tcp::socket socket)
{
    const OpenConnection counted(control);
    beast::tcp_stream caller(std::move(socket));
    beast::flat_buffer buffer;
    bool keep = true;
    while (keep) {
        // Not part of the condition above: gcc 12 evaluates a co_await behind && whatever stands before it.
        if (!co_await awaitRequest(thread, control, caller, buffer))
            break;
        RequestParser parser;
        const auto error = co_await readRequest(thread, caller, buffer, parser);
        if (error) {
            if (isCallersFault(error))
                co_await sendAnswer(caller, refusalBeforeAttempt(codeOf(error), {}), true);
            break;
        }
        keep = co_await serveOne(thread, control, caller, parser);
    }
    boost::system::error_code ignored;
    caller.socket().shutdown(net::socket_base::shutdown_send, ignored);
}

} // namespace lacewingsail::internal
