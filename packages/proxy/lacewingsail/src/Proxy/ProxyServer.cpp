#include <lacewingsail/Proxy.h>

#include "CallerSession.h"

#include <cassert>
#include <random>
#include <thread>
#include <vector>

namespace lacewingsail {

struct ProxyServer::Implementation {
    ProxyServices services;
    internal::SessionControl control;
    std::vector<std::unique_ptr<internal::RequestThread>> requestThreads;
    std::unique_ptr<net::ip::tcp::acceptor> acceptor;
    std::vector<std::thread> threads;

    net::awaitable<void> accept();
};

namespace internal {

    // A broken connection ends its own coroutine only.
    void ignoreBrokenSession(std::exception_ptr) { }

    // Accepting fails for a while when descriptors run out.
    constexpr std::chrono::milliseconds pauseAfterAcceptError { 20 };

} // namespace internal

net::awaitable<void> ProxyServer::Implementation::accept()
{
    for (std::size_t turn = 0;; ++turn) {
        internal::RequestThread& thread = *requestThreads[turn % requestThreads.size()];
        boost::system::error_code error;
        auto socket = co_await acceptor->async_accept(thread.context, net::redirect_error(net::use_awaitable, error));
        if (error == net::error::operation_aborted)
            co_return;
        if (error) {
            net::steady_timer pause(requestThreads.front()->context, internal::pauseAfterAcceptError);
            co_await pause.async_wait(net::use_awaitable);
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(net::ip::tcp::no_delay(true), ignored);
        net::co_spawn(thread.context, internal::serveCaller(thread, control, std::move(socket)), internal::ignoreBrokenSession);
    }
}

ProxyServer::ProxyServer(const ProxyServices& services, std::error_code& error)
    : m_implementation(new Implementation { services, {}, {}, {}, {} })
{
    assert(services.settings.threads > 0);
    error.clear();
    std::random_device seeds;
    for (int index = 0; index < services.settings.threads; ++index)
        m_implementation->requestThreads.push_back(std::make_unique<internal::RequestThread>(m_implementation->services, seeds()));
    net::io_context& first = m_implementation->requestThreads.front()->context;
    try {
        const Endpoint& callers = services.settings.callers;
        const net::ip::tcp::endpoint address(net::ip::make_address(callers.address), callers.port);
        m_implementation->acceptor = std::make_unique<net::ip::tcp::acceptor>(first, address, true);
    } catch (const boost::system::system_error& problem) {
        error = problem.code();
        return;
    }
    net::co_spawn(first, m_implementation->accept(), net::detached);
    for (auto& thread : m_implementation->requestThreads) {
        m_implementation->threads.emplace_back([&context = thread->context] {
            const auto keepRunning = net::make_work_guard(context);
            context.run();
        });
    }
}

ProxyServer::~ProxyServer()
{
    for (auto& thread : m_implementation->requestThreads)
        thread->context.stop();
    for (std::thread& thread : m_implementation->threads)
        thread.join();
}

void ProxyServer::drain()
{
    m_implementation->control.draining = true;
    for (auto& thread : m_implementation->requestThreads)
        net::post(thread->context, [&thread = *thread] { internal::hastenIdleSessions(thread); });
    net::post(m_implementation->requestThreads.front()->context, [this] {
        boost::system::error_code ignored;
        m_implementation->acceptor->close(ignored);
    });
}

int ProxyServer::openConnections() const { return m_implementation->control.open; }

} // namespace lacewingsail
