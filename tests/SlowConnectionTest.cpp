#include "FreePort.h"

#include <lacewingsail/Exchange.h>
#include <lacewingsail/exchange.pb.h>

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <future>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace lacewingsail;
using namespace std::chrono_literals;
using lacewingsail::testing::freePort;
using lacewingsail::testing::loopback;

namespace {

/// \brief Runs handlers on the thread that posts them.
class InlineEventLoop final : public EventLoop {
public:
    void post(Handler handler) override { handler(); }
    void after(std::chrono::milliseconds, Handler) override { }
};

/// \brief Accepts connections at once and passes on their bytes only after a delay, like a host that is short of processor time.
class SlowHost {
public:
    SlowHost(std::uint16_t port, std::uint16_t target, std::chrono::milliseconds delay)
        : m_target(target)
        , m_delay(delay)
        , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int enabled = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        const sockaddr_in address = loopback(port);
        REQUIRE(::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        REQUIRE(::listen(m_listener, SOMAXCONN) == 0);
        m_threads.emplace_back([this] { accept(); });
    }

    ~SlowHost()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        m_threads.front().join();
        for (const int socket : m_sockets)
            ::shutdown(socket, SHUT_RDWR);
        for (std::size_t index = 1; index < m_threads.size(); ++index)
            m_threads[index].join();
        for (const int socket : m_sockets)
            ::close(socket);
        ::close(m_listener);
    }

    SlowHost(const SlowHost&) = delete;
    SlowHost& operator=(const SlowHost&) = delete;

private:
    void accept()
    {
        for (;;) {
            const int caller = ::accept(m_listener, nullptr, nullptr);
            if (caller < 0)
                return;
            const int target = ::socket(AF_INET, SOCK_STREAM, 0);
            m_sockets.insert(m_sockets.end(), { caller, target });
            m_threads.emplace_back([this, caller, target] {
                std::this_thread::sleep_for(m_delay);
                const sockaddr_in address = loopback(m_target);
                if (::connect(target, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
                    return;
                std::thread answers([target, caller] { copy(target, caller); });
                copy(caller, target);
                answers.join();
            });
        }
    }

    static void copy(int from, int to)
    {
        std::array<char, 4096> bytes {};
        ssize_t count = 0;
        while ((count = ::read(from, bytes.data(), bytes.size())) > 0) {
            if (::send(to, bytes.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL) != count)
                break;
        }
        ::shutdown(to, SHUT_WR);
    }

    std::uint16_t m_target;
    std::chrono::milliseconds m_delay;
    int m_listener;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_threads;
};

} // namespace

TEST_CASE("requestTokens, coordinator takes 150 ms to answer a new connection, tokens are granted")
{
    InlineEventLoop loop;
    std::error_code error;
    GatewayCalls::Handlers handlers;
    handlers.grantTokens = [](const TokenDemand& demand) { return std::optional(TokenGrant { demand.wanted, {} }); };
    const std::uint16_t coordinatorPort = freePort();
    const GatewayCalls coordinator(loop, { "127.0.0.1", coordinatorPort }, handlers, error);
    REQUIRE_FALSE(error);
    const std::uint16_t slowPort = freePort();
    const SlowHost slow(slowPort, coordinatorPort, 150ms);
    {
        GatewayCalls caller(loop, { "127.0.0.1", freePort() }, {}, error);
        REQUIRE_FALSE(error);
        std::promise<bool> granted;
        caller.requestTokens({ "127.0.0.1", slowPort }, { ClientAccountId("norrland"), 1 }, [&](const HostCalls::TokenCallResult& result) { granted.set_value(result.grant && result.grant->granted == 1); });
        CHECK(granted.get_future().get());
    }
}
