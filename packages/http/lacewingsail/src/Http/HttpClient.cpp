#include <lacewingsail/HttpResponses.h>
#include <lacewingsail/Observe.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <atomic>

namespace lacewingsail {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace internal {

    struct ControlConnection {
        explicit ControlConnection(net::io_context& context)
            : stream(context)
        {
        }

        beast::tcp_stream stream;
        beast::flat_buffer buffer { maxUnparsedBytes };
        bool open = false;
    };

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

    // Nothing may follow a response before the next request. Without ids, what does would be taken for the next response.
    bool hasUnreadData(ControlConnection& connection)
    {
        auto& socket = connection.stream.socket();
        boost::system::error_code error;
        socket.non_blocking(true, error);
        char byte = 0;
        socket.receive(net::buffer(&byte, 1), net::socket_base::message_peek, error);
        return connection.buffer.size() != 0 || error != net::error::would_block;
    }

    net::awaitable<void> exchange(ControlConnection& connection, const Endpoint& endpoint, const http::request<http::string_body>& request,
        std::optional<http::response<http::string_body>>& response, const std::atomic<bool>& interrupted)
    {
        // An interruption that came before there was anything to cancel.
        if (interrupted)
            throw boost::system::system_error(net::error::operation_aborted);
        if (!connection.open) {
            co_await connection.stream.async_connect(net::ip::tcp::endpoint(net::ip::make_address(endpoint.address), endpoint.port), net::use_awaitable);
            connection.stream.socket().set_option(net::ip::tcp::no_delay(true));
            connection.open = true;
        }
        co_await http::async_write(connection.stream, request, net::use_awaitable);
        boost::system::error_code error;
        response = co_await readResponse<http::string_body>(connection.stream, connection.buffer, request.method(), HttpServer::largestControlBody, error);
        if (isRefusal(error))
            log(Event("response-refused").with("request", request.target()).with("server", text(endpoint)).with("reason", error.message()));
        if (error)
            throw boost::system::system_error(error);
    }

    std::error_code codeOf(const std::exception_ptr& failure)
    {
        try {
            std::rethrow_exception(failure);
        } catch (const boost::system::system_error& problem) {
            return problem.code();
        }
    }

} // namespace internal

struct HttpClient::Implementation {
    explicit Implementation(Endpoint serverEndpoint)
        : endpoint(std::move(serverEndpoint))
    {
    }

    // Runs the exchange until it ends or the time is over. The connection is of no further use after an error.
    std::error_code run(const http::request<http::string_body>& message, std::optional<http::response<http::string_body>>& response, std::chrono::milliseconds timeout);

    const Endpoint endpoint;
    net::io_context context;
    std::unique_ptr<internal::ControlConnection> connection;
    std::atomic<bool> interrupted { false };
};

std::error_code HttpClient::Implementation::run(
    const http::request<http::string_body>& message, std::optional<http::response<http::string_body>>& response, std::chrono::milliseconds timeout)
{
    std::exception_ptr failure;
    bool done = false;
    net::co_spawn(context, internal::exchange(*connection, endpoint, message, response, interrupted), [&](std::exception_ptr exception) {
        failure = exception;
        done = true;
    });
    context.restart();
    context.run_for(timeout);
    if (!done) {
        connection->stream.cancel();
        context.restart();
        context.run();
        return std::make_error_code(std::errc::timed_out);
    }
    return failure ? internal::codeOf(failure) : std::error_code();
}

HttpClient::HttpClient(Endpoint endpoint)
    : m_implementation(std::make_unique<Implementation>(std::move(endpoint)))
{
}

HttpClient::~HttpClient() = default;

HttpResponse HttpClient::send(const HttpRequest& request, std::chrono::milliseconds timeout, std::error_code& error)
{
    auto& connection = m_implementation->connection;
    if (!connection || (connection->open && internal::hasUnreadData(*connection)))
        connection = std::make_unique<internal::ControlConnection>(m_implementation->context);
    std::optional<http::response<http::string_body>> response;
    error = m_implementation->run(internal::toBeast(request, m_implementation->endpoint), response, timeout);
    if (error) {
        connection.reset();
        return {};
    }
    if (!response->keep_alive())
        connection.reset();
    return internal::fromBeast(std::move(*response));
}

void HttpClient::interrupt()
{
    m_implementation->interrupted = true;
    net::post(m_implementation->context, [implementation = m_implementation.get()] {
        if (implementation->connection)
            implementation->connection->stream.cancel();
    });
}

} // namespace lacewingsail
