#include "AsioHttpCalls.h"

#include "ConnectionDeadline.h"

#include <lacewingsail/HttpResponses.h>
#include <lacewingsail/Observe.h>

namespace lacewingsail::internal {

namespace {

    // The store limits a response to about 1 MB of records, a third more in base64.
    constexpr std::uint64_t maxResponseBytes = 4 * 1024 * 1024;

    http::request<http::string_body> makeMessage(const HttpRequest& request, const Endpoint& endpoint)
    {
        http::request<http::string_body> message;
        message.version(11);
        message.method_string(request.method);
        message.target(request.target);
        message.set(http::field::host, text(endpoint));
        for (const HttpField& field : request.fields)
            message.set(field.name, field.value);
        message.body() = request.body;
        message.prepare_payload();
        return message;
    }

    // Nothing may follow a response before the next request. Without ids, what does would be taken for the next response.
    bool hasUnreadData(beast::tcp_stream& stream, const beast::flat_buffer& buffer)
    {
        boost::system::error_code error;
        stream.socket().non_blocking(true, error);
        char byte = 0;
        stream.socket().receive(net::buffer(&byte, 1), net::socket_base::message_peek, error);
        return buffer.size() != 0 || error != net::error::would_block;
    }

    HttpResponse decodeResponse(http::response<http::string_body> message)
    {
        HttpResponse response;
        response.status = static_cast<int>(message.result_int());
        for (const auto& field : message)
            response.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
        response.body = std::move(message.body());
        return response;
    }

} // namespace

AsioHttpCalls::AsioHttpCalls(net::io_context& context, Endpoint endpoint)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
{
}

void AsioHttpCalls::call(std::size_t lane, HttpRequest request, std::chrono::milliseconds timeout, Answer callback)
{
    net::co_spawn(m_context, run(lane, std::move(request), timeout, std::move(callback)), net::detached);
}

net::awaitable<void> AsioHttpCalls::run(std::size_t lane, HttpRequest request, std::chrono::milliseconds timeout, Answer callback)
{
    // A copy of the pointer, as another call may replace the lane's connection while this one is being opened.
    std::shared_ptr<Connection> connection = m_lanes[lane];
    boost::system::error_code error;
    if (!connection || connection->busy || !connection->stream.socket().is_open() || hasUnreadData(connection->stream, connection->buffer)) {
        connection = std::make_shared<Connection>(m_context);
        m_lanes[lane] = connection;
        connection->busy = true;
        connection->stream.expires_after(timeout);
        co_await connection->stream.async_connect(net::ip::tcp::endpoint(net::ip::make_address(m_endpoint.address), m_endpoint.port), net::redirect_error(net::use_awaitable, error));
        if (!error)
            connection->stream.socket().set_option(net::ip::tcp::no_delay(true), error);
    }
    connection->busy = true;
    connection->stream.expires_never();
    const ConnectionDeadline callDeadline(m_context, connection, timeout);
    const auto message = makeMessage(request, m_endpoint);
    std::optional<http::response<http::string_body>> response;
    if (!error)
        co_await http::async_write(connection->stream, message, net::redirect_error(net::use_awaitable, error));
    if (!error)
        response = co_await readResponse<http::string_body>(connection->stream, connection->buffer, message.method(), maxResponseBytes, error);
    if (callDeadline.expired())
        error = beast::error::timeout;
    connection->busy = false;
    if (isRefusal(error))
        log(Event("response-refused").with("request", request.target).with("server", text(m_endpoint)).with("reason", error.message()));
    if (error || !response->keep_alive())
        connection->stream.close();
    if (error)
        callback(error, {});
    else
        callback({}, decodeResponse(std::move(*response)));
}

} // namespace lacewingsail::internal
