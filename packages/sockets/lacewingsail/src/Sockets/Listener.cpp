#include <lacewingsail/Sockets.h>

#include <lacewingsail/Observe.h>

#include <boost/asio.hpp>

#include <cerrno>
#include <chrono>
#include <exception>
#include <optional>
#include <sys/socket.h>
#include <thread>

namespace lacewingsail {

namespace net = boost::asio;

namespace internal {

    constexpr std::chrono::milliseconds acceptRetryDelay { 100 };
    // Between two lines about a listener that cannot accept.
    constexpr std::chrono::seconds acceptFailureLogInterval { 5 };

} // namespace internal

int openListeningSocket(const Endpoint& endpoint, std::error_code& error)
{
    boost::system::error_code failure;
    net::io_context context;
    net::ip::tcp::acceptor acceptor(context);
    const net::ip::tcp::endpoint address(net::ip::make_address(endpoint.address, failure), endpoint.port);
    if (!failure)
        acceptor.open(address.protocol(), failure);
    if (!failure)
        acceptor.set_option(net::socket_base::reuse_address(true), failure);
    if (!failure)
        acceptor.bind(address, failure);
    if (!failure)
        acceptor.listen(net::socket_base::max_listen_connections, failure);
    if (!failure)
        acceptor.native_non_blocking(true, failure);
    const int descriptor = failure ? -1 : acceptor.release(failure);
    error = failure;
    return failure ? -1 : descriptor;
}

struct Listener::Implementation {
    net::io_context context { 1 };
    net::posix::stream_descriptor socket;
    net::steady_timer retry { context };
    const Endpoint endpoint;
    const Handler handler;
    SystemClock clock;
    std::optional<MonotonicTime> failureLoggedAt;
    std::thread thread;

    Implementation(int descriptor, Endpoint listenEndpoint, Handler connectionHandler)
        : socket(context, descriptor)
        , endpoint(std::move(listenEndpoint))
        , handler(std::move(connectionHandler))
    {
    }

    void awaitConnection();
    void accept();
    void retryAfter(std::string_view reason);
};

void Listener::Implementation::awaitConnection()
{
    socket.async_wait(net::posix::stream_descriptor::wait_read, [this](const boost::system::error_code& error) {
        if (error)
            retryAfter(error.message());
        else
            accept();
    });
}

void Listener::Implementation::accept()
{
    const int connection = ::accept4(socket.native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    // A connection may have been broken off before it could be accepted.
    if (connection < 0 && errno != EAGAIN && errno != EINTR && errno != ECONNABORTED)
        return retryAfter(std::generic_category().message(errno));
    if (connection >= 0) {
        try {
            handler(connection);
        } catch (const std::exception& problem) {
            return retryAfter(problem.what());
        }
    }
    awaitConnection();
}

void Listener::Implementation::retryAfter(std::string_view reason)
{
    const MonotonicTime now = clock.now();
    if (!failureLoggedAt || now - *failureLoggedAt >= internal::acceptFailureLogInterval) {
        failureLoggedAt = now;
        log(Event("accept-failed").with("endpoint", text(endpoint)).with("reason", reason));
    }
    retry.expires_after(internal::acceptRetryDelay);
    retry.async_wait([this](const boost::system::error_code&) { awaitConnection(); });
}

Listener::Listener(int descriptor, Endpoint endpoint, Handler handler)
    : m_implementation(std::make_unique<Implementation>(descriptor, std::move(endpoint), std::move(handler)))
{
    m_implementation->awaitConnection();
    m_implementation->thread = std::thread([this] { m_implementation->context.run(); });
}

Listener::~Listener()
{
    m_implementation->context.stop();
    m_implementation->thread.join();
}

} // namespace lacewingsail
