#include "CallerSession.h"

#include "Refusal.h"
#include "RequestPath.h"

#include <lacewingsail/Http.h>
#include <lacewingsail/Wire.h>

#include <algorithm>
#include <array>

namespace lacewingsail::internal {

namespace {

    constexpr int requestIdBytes = 12;
    // A drained connection that has been idle this long is closed; a balancer that still uses it sends sooner.
    constexpr std::chrono::seconds drainIdleTime { 2 };
    // A request that crosses the closing of its connection is read this long, so that it finds its refusal.
    constexpr std::chrono::milliseconds lingerTime { 500 };
    constexpr std::size_t pieceBytes = 4096;

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
        // What fills the buffer of a connection is the line before a chunk, or the trailer.
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
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

    /// \brief Makes a wait known to the host's planned stop while it lasts.
    class ListedWait {
    public:
        ListedWait(RequestThread& thread, IdleWait& wait)
            : m_thread(thread)
            , m_wait(wait)
        {
            m_thread.idle.insert(&m_wait);
        }
        ~ListedWait() { m_thread.idle.erase(&m_wait); }
        ListedWait(const ListedWait&) = delete;
        ListedWait& operator=(const ListedWait&) = delete;

    private:
        RequestThread& m_thread;
        IdleWait& m_wait;
    };

    // Waits until the next request begins; costs nothing meanwhile. \returns false if it took too long.
    net::awaitable<bool> awaitRequest(RequestThread& thread, const SessionControl& control, beast::tcp_stream& caller, const beast::flat_buffer& buffer)
    {
        if (buffer.size() != 0)
            co_return true;
        auto wait = std::make_shared<IdleWait>(thread.context);
        const ListedWait listed(thread, *wait);
        wait->closeAt = std::chrono::steady_clock::now() + (control.draining ? drainIdleTime : Duration(thread.services.settings.limits.idleTimeout));
        caller.socket().async_wait(net::socket_base::wait_read, [wait](const boost::system::error_code& error) {
            wait->readable = !error;
            wait->timer.cancel();
        });
        boost::system::error_code timerError = net::error::operation_aborted;
        while (timerError && !wait->readable) {
            wait->timer.expires_at(wait->closeAt);
            co_await wait->timer.async_wait(net::redirect_error(net::use_awaitable, timerError));
        }
        boost::system::error_code ignored;
        if (!wait->readable)
            caller.socket().cancel(ignored);
        co_return wait->readable || caller.socket().available(ignored) > 0;
    }

    // Reads on for a moment: closing at once would reset the connection and take the last answer with it.
    net::awaitable<void> closeLingering(beast::tcp_stream& caller)
    {
        boost::system::error_code error;
        caller.socket().shutdown(net::socket_base::shutdown_send, error);
        std::array<char, pieceBytes> discarded {};
        caller.expires_after(lingerTime);
        while (!error)
            co_await caller.async_read_some(net::buffer(discarded), net::redirect_error(net::use_awaitable, error));
    }

    // Says "not run" to a request that may be on its way.
    net::awaitable<void> closeIdle(const SessionControl& control, beast::tcp_stream& caller)
    {
        if (control.draining)
            co_await sendAnswer(caller, refusalBeforeAttempt(ResultCode::ShuttingDown, {}), true);
        co_await closeLingering(caller);
    }

    /// \brief Breaks off reads that take too long. The timeouts of the stream itself would close it, so that the
    /// caller could not be told.
    class ReadDeadline {
    public:
        ReadDeadline(beast::tcp_stream& caller, Duration timeout)
            : m_timer(caller.get_executor(), timeout)
            , m_state(std::make_shared<State>(State { &caller, false }))
        {
            caller.expires_never();
            m_timer.async_wait([state = m_state](const boost::system::error_code& error) {
                if (error || !state->caller)
                    return;
                state->passed = true;
                state->caller->cancel();
            });
        }
        ~ReadDeadline() { m_state->caller = nullptr; }
        ReadDeadline(const ReadDeadline&) = delete;
        ReadDeadline& operator=(const ReadDeadline&) = delete;

        bool passed() const { return m_state->passed; }

    private:
        struct State {
            beast::tcp_stream* caller;
            bool passed;
        };
        net::steady_timer m_timer;
        std::shared_ptr<State> m_state;
    };

    // Collects a whole header in the buffer and checks it as it came.
    net::awaitable<ResultCode> readRawHeader(beast::tcp_stream& caller, beast::flat_buffer& buffer, std::size_t limit, boost::system::error_code& error)
    {
        for (;;) {
            const std::string_view bytes(static_cast<const char*>(buffer.data().data()), buffer.size());
            const std::size_t size = rawHeaderSize(bytes);
            if (size != std::string_view::npos)
                co_return size > limit ? ResultCode::HeaderTooLarge : checkRawHeader(bytes.substr(0, size));
            if (bytes.size() > limit)
                co_return ResultCode::HeaderTooLarge;
            buffer.commit(co_await caller.async_read_some(buffer.prepare(pieceBytes), net::redirect_error(net::use_awaitable, error)));
            if (error)
                co_return ResultCode::Ok;
        }
    }

    // Reads header and body; \param error set if the connection or the framing broke.
    net::awaitable<ResultCode> readMessage(RequestThread& thread, beast::tcp_stream& caller, beast::flat_buffer& buffer, RequestParser& parser, boost::system::error_code& error)
    {
        const CallerLimits& limits = thread.services.settings.limits;
        parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        parser.body_limit(limits.bodyBytes);
        const ResultCode raw = co_await readRawHeader(caller, buffer, limits.headerBytes, error);
        if (error || raw != ResultCode::Ok)
            co_return raw;
        co_await http::async_read_header(caller, buffer, parser, net::redirect_error(net::use_awaitable, error));
        if (error)
            co_return ResultCode::Ok;
        if (const ResultCode code = checkRequestHeader(parser.get()); code != ResultCode::Ok)
            co_return code;
        if (parser.get().count(http::field::expect) != 0) {
            http::response<http::empty_body> proceed(http::status::continue_, 11);
            co_await http::async_write(caller, proceed, net::redirect_error(net::use_awaitable, error));
            if (error)
                co_return ResultCode::Ok;
        }
        co_await http::async_read(caller, buffer, parser, net::redirect_error(net::use_awaitable, error));
        co_return ResultCode::Ok;
    }

    /// \brief How the reading of a request ended.
    enum class ReadEnd {
        Whole,
        /// The caller has been told why not.
        Refused,
        /// The caller has gone.
        Gone,
    };

    net::awaitable<ReadEnd> readRequest(RequestThread& thread, beast::tcp_stream& caller, beast::flat_buffer& buffer, RequestParser& parser)
    {
        boost::system::error_code error;
        ResultCode code = ResultCode::Ok;
        {
            const ReadDeadline deadline(caller, thread.services.settings.limits.requestTimeout);
            code = co_await readMessage(thread, caller, buffer, parser, error);
            if (error && deadline.passed())
                error = beast::error::timeout;
        }
        if (error && !isCallersFault(error))
            co_return ReadEnd::Gone;
        if (error)
            code = codeOf(error);
        if (code == ResultCode::Ok)
            co_return ReadEnd::Whole;
        co_await sendAnswer(caller, refusalBeforeAttempt(code, {}), true);
        co_return ReadEnd::Refused;
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
            request->callerDisconnected = true;
            if (request->cancelAttempt)
                request->cancelAttempt();
        });
    }

    net::awaitable<bool> serveOne(RequestThread& thread, SessionControl& control, beast::tcp_stream& caller, RequestParser& parser)
    {
        auto request = std::make_shared<RequestContext>(thread, control.draining, parser.release());
        request->id = RequestId(randomHex(requestIdBytes));
        watchCaller(request, caller);
        const bool keep = co_await serveRequest(*request, caller);
        boost::system::error_code ignored;
        caller.socket().cancel(ignored);
        request->cancelAttempt = nullptr;
        co_return keep;
    }

} // namespace

void hastenIdleSessions(RequestThread& thread)
{
    const auto closeAt = std::chrono::steady_clock::now() + drainIdleTime;
    for (IdleWait* wait : thread.idle) {
        wait->closeAt = std::min(wait->closeAt, closeAt);
        wait->timer.cancel();
    }
}

net::awaitable<void> serveCaller(RequestThread& thread, SessionControl& control, net::ip::tcp::socket socket)
{
    const OpenConnection counted(control);
    beast::tcp_stream caller(std::move(socket));
    beast::flat_buffer buffer(thread.services.settings.limits.headerBytes + pieceBytes);
    bool keep = true;
    while (keep) {
        if (!co_await awaitRequest(thread, control, caller, buffer)) {
            co_await closeIdle(control, caller);
            co_return;
        }
        RequestParser parser;
        const ReadEnd end = co_await readRequest(thread, caller, buffer, parser);
        if (end == ReadEnd::Gone)
            break;
        if (end == ReadEnd::Refused) {
            co_await closeLingering(caller);
            co_return;
        }
        keep = co_await serveOne(thread, control, caller, parser);
    }
    boost::system::error_code ignored;
    caller.socket().shutdown(net::socket_base::shutdown_send, ignored);
}

} // namespace lacewingsail::internal
