#include <lacewingsail/Http.h>

#include <lacewingsail/Sockets.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <cassert>
#include <thread>
#include <unistd.h>
#include <vector>

namespace lacewingsail {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

struct HttpServer::Implementation {
    net::io_context context;
    net::executor_work_guard<net::io_context::executor_type> keepRunning { context.get_executor() };
    Handler handler;
    std::uint64_t largestBody = 0;
    std::vector<std::thread> threads;
    std::unique_ptr<Listener> listener;

    void serve(int connection);
};

namespace internal {

    constexpr std::chrono::seconds controlTimeout { 60 };

    HttpRequest fromBeast(http::request<http::string_body> message)
    {
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto& field : message)
            request.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
        request.body = std::move(message.body());
        return request;
    }

    http::response<http::string_body> toBeast(const HttpResponse& response, bool keepAlive)
    {
        http::response<http::string_body> message;
        message.result(static_cast<unsigned>(response.status));
        message.version(11);
        for (const HttpField& field : response.fields)
            message.insert(field.name, field.value);
        message.body() = response.body;
        message.keep_alive(keepAlive);
        message.prepare_payload();
        return message;
    }

    net::awaitable<void> serveControl(beast::tcp_stream stream, const HttpServer::Handler& handler, std::uint64_t largestBody)
    {
        beast::flat_buffer buffer(maxUnparsedBytes);
        bool keepAlive = true;
        while (keepAlive) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(largestBody);
            stream.expires_after(controlTimeout);
            co_await http::async_read(stream, buffer, parser, net::use_awaitable);
            keepAlive = parser.get().keep_alive();
            const auto response = toBeast(handler(fromBeast(parser.release())), keepAlive);
            stream.expires_after(controlTimeout);
            co_await http::async_write(stream, response, net::use_awaitable);
        }
    }

    // A broken connection ends its own coroutine only.
    void ignoreBrokenConnection(std::exception_ptr) { }

} // namespace internal

void HttpServer::Implementation::serve(int connection)
{
    net::ip::tcp::socket socket(net::make_strand(context));
    boost::system::error_code error;
    socket.assign(net::ip::tcp::v4(), connection, error);
    if (error) {
        ::close(connection);
        throw boost::system::system_error(error);
    }
    const auto executor = socket.get_executor();
    net::co_spawn(executor, internal::serveControl(beast::tcp_stream(std::move(socket)), handler, largestBody), internal::ignoreBrokenConnection);
}

HttpServer::HttpServer(const Endpoint& endpoint, int threads, Handler handler, std::error_code& error, std::uint64_t largestBody)
    : m_implementation(std::make_unique<Implementation>())
{
    assert(threads > 0);
    m_implementation->handler = std::move(handler);
    m_implementation->largestBody = largestBody;
    const int socket = openListeningSocket(endpoint, error);
    if (error)
        return;
    for (int index = 0; index < threads; ++index)
        m_implementation->threads.emplace_back([this] { m_implementation->context.run(); });
    m_implementation->listener = std::make_unique<Listener>(socket, endpoint, [this](int connection) { m_implementation->serve(connection); });
}

HttpServer::~HttpServer()
{
    m_implementation->listener.reset();
    m_implementation->context.stop();
    for (std::thread& thread : m_implementation->threads)
        thread.join();
}

} // namespace lacewingsail
