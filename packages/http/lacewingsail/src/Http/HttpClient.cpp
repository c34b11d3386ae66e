#include <lacewingsail/Http.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <limits>

namespace lacewingsail {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

struct HttpClient::Connection {
    net::io_context context;
    beast::tcp_stream stream { context };
    beast::flat_buffer buffer;
    bool open = false;
};

namespace internal {

    http::request<http::string_body> toBeast(const HttpRequest& request, const Endpoint& endpoint)
    {
        http::request<http::string_body> message;
        message.method_string(request.method);
        message.target(request.target);
        message.version(11);
        message.set(http::field::host, text(endpoint));
        for (const HttpField& field : request.fields)
            message.insert(field.name, field.value);
        message.body() = request.body;
        message.prepare_payload();
        return message;
    }

    HttpResponse fromBeast(http::response<http::string_body> message)
    {
        HttpResponse response;
        response.status = static_cast<int>(message.result_int());
        for (const auto& field : message)
            response.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
        response.body = std::move(message.body());
        return response;
    }

    net::awaitable<void> exchange(beast::tcp_stream& stream, beast::flat_buffer& buffer, bool& open, const Endpoint& endpoint,
        const http::request<http::string_body>& request, http::response_parser<http::string_body>& parser)
    {
        if (!open) {
            co_await stream.async_connect(net::ip::tcp::endpoint(net::ip::make_address(endpoint.address), endpoint.port), net::use_awaitable);
            stream.socket().set_option(net::ip::tcp::no_delay(true));
            open = true;
        }
        co_await http::async_write(stream, request, net::use_awaitable);
        co_await http::async_read(stream, buffer, parser, net::use_awaitable);
    }

} // namespace internal

HttpClient::HttpClient(Endpoint endpoint)
    : m_endpoint(std::move(endpoint))
{
}

HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient&&) noexcept = default;
HttpClient& HttpClient::operator=(HttpClient&&) noexcept = default;

HttpResponse HttpClient::send(const HttpRequest& request, std::chrono::milliseconds timeout, std::error_code& error)
{
    error.clear();
    if (!m_connection)
        m_connection = std::make_unique<Connection>();
    Connection& connection = *m_connection;
    const auto message = internal::toBeast(request, m_endpoint);
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    std::exception_ptr failure;
    bool done = false;
    net::co_spawn(connection.context, internal::exchange(connection.stream, connection.buffer, connection.open, m_endpoint, message, parser),
        [&](std::exception_ptr exception) {
            failure = exception;
            done = true;
        });
    connection.context.restart();
    connection.context.run_for(timeout);
    if (!done) {
        connection.stream.cancel();
        connection.context.restart();
        connection.context.run();
        failure = std::make_exception_ptr(boost::system::system_error(net::error::timed_out));
    }
    if (failure) {
        m_connection.reset();
        try {
            std::rethrow_exception(failure);
        } catch (const boost::system::system_error& problem) {
            error = problem.code();
        }
        return {};
    }
    const bool keep = parser.get().keep_alive();
    HttpResponse response = internal::fromBeast(parser.release());
    if (!keep)
        m_connection.reset();
    return response;
}

} // namespace lacewingsail
