#include <lacewingsail/Http.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <cassert>
#include <thread>
#include <vector>

namespace lacewingsail {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

struct HttpServer::Implementation {
    net::io_context context;
    net::ip::tcp::acceptor acceptor { context };
    Handler handler;
    std::vector<std::thread> threads;
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

    net::awaitable<void> acceptControl(net::ip::tcp::acceptor& acceptor, const HttpServer::Handler& handler, std::uint64_t largestBody)
    {
        for (;;) {
            boost::system::error_code error;
            auto socket = co_await acceptor.async_accept(net::make_strand(acceptor.get_executor()), net::redirect_error(net::use_awaitable, error));
            if (error == net::error::operation_aborted)
                co_return;
            if (error)
                continue;
            const auto executor = socket.get_executor();
            net::co_spawn(executor, serveControl(beast::tcp_stream(std::move(socket)), handler, largestBody), ignoreBrokenConnection);
        }
    }

} // namespace internal

HttpServer::HttpServer(const Endpoint& endpoint, int threads, Handler handler, std::error_code& error, std::uint64_t largestBody)
    : m_implementation(std::make_unique<Implementation>())
{
    assert(threads > 0);
    error.clear();
    m_implementation->handler = std::move(handler);
    try {
        const net::ip::tcp::endpoint address(net::ip::make_address(endpoint.address), endpoint.port);
        m_implementation->acceptor.open(address.protocol());
        m_implementation->acceptor.set_option(net::socket_base::reuse_address(true));
        m_implementation->acceptor.bind(address);
        m_implementation->acceptor.listen();
    } catch (const boost::system::system_error& problem) {
        error = problem.code();
        return;
    }
    net::co_spawn(m_implementation->context, internal::acceptControl(m_implementation->acceptor, m_implementation->handler, largestBody), net::detached);
    for (int index = 0; index < threads; ++index)
        m_implementation->threads.emplace_back([this] { m_implementation->context.run(); });
}

HttpServer::~HttpServer()
{
    m_implementation->context.stop();
    for (std::thread& thread : m_implementation->threads)
        thread.join();
}

} // namespace lacewingsail
