#include "FreePort.h"

#include <lacewingsail/Http.h>
#include <lacewingsail/Observe.h>
#include <lacewingsail/Peers.h>

#include <lacewingsail/exchange.grpc.pb.h>

#include <doctest/doctest.h>

#include <chrono>
#include <ctime>
#include <functional>
#include <mutex>
#include <poll.h>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <vector>

using namespace lacewingsail;
using lacewingsail::testing::freePort;
using lacewingsail::testing::loopback;

namespace {

constexpr rlim_t fewDescriptors = 256;
constexpr std::chrono::milliseconds exhaustion { 1000 };
constexpr std::chrono::milliseconds generousTimeout { 10000 };
// Of the processor, by a server that cannot accept.
constexpr std::chrono::milliseconds smallShare { 300 };

class TcpConnection {
public:
    TcpConnection() = default;
    ~TcpConnection() { ::close(m_socket); }
    TcpConnection(const TcpConnection&) = delete;
    TcpConnection& operator=(const TcpConnection&) = delete;

    void connect(std::uint16_t port)
    {
        const sockaddr_in address = loopback(port);
        REQUIRE(::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    }

    void send(const std::string& bytes) { REQUIRE(::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())); }

    /// \returns whether bytes arrive within the time.
    bool receives(std::chrono::milliseconds time)
    {
        pollfd waiting { m_socket, POLLIN, 0 };
        char byte = 0;
        return ::poll(&waiting, 1, static_cast<int>(time.count())) == 1 && ::recv(m_socket, &byte, 1, 0) == 1;
    }

private:
    int m_socket = ::socket(AF_INET, SOCK_STREAM, 0);
};

/// \brief Leaves the process no descriptor while it exists.
class DescriptorExhaustion {
public:
    DescriptorExhaustion()
    {
        REQUIRE(::getrlimit(RLIMIT_NOFILE, &m_usual) == 0);
        const rlimit few { fewDescriptors, m_usual.rlim_max };
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &few) == 0);
        for (int descriptor = ::dup(0); descriptor >= 0; descriptor = ::dup(0))
            m_taken.push_back(descriptor);
    }

    ~DescriptorExhaustion()
    {
        for (const int descriptor : m_taken)
            ::close(descriptor);
        ::setrlimit(RLIMIT_NOFILE, &m_usual);
    }

    DescriptorExhaustion(const DescriptorExhaustion&) = delete;
    DescriptorExhaustion& operator=(const DescriptorExhaustion&) = delete;

private:
    rlimit m_usual {};
    std::vector<int> m_taken;
};

/// \brief Counts the lines of the log that contain a text.
class LogLines {
public:
    explicit LogLines(std::string part)
        : m_part(std::move(part))
    {
        redirectLog([this](std::string_view line) {
            const std::lock_guard lock(m_mutex);
            m_count += line.find(m_part) != std::string_view::npos ? 1 : 0;
        });
    }

    ~LogLines() { redirectLog(nullptr); }
    LogLines(const LogLines&) = delete;
    LogLines& operator=(const LogLines&) = delete;

    int count() const
    {
        const std::lock_guard lock(m_mutex);
        return m_count;
    }

private:
    const std::string m_part;
    mutable std::mutex m_mutex;
    int m_count = 0;
};

std::chrono::milliseconds processorTime()
{
    timespec time {};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

// What a server on the endpoint does once descriptors are free again. The log is observed before any thread of the server starts.
void checkServesAfterExhaustion(const std::function<void(const Endpoint&, std::error_code&)>& start, const std::function<void()>& stop, const std::string& request)
{
    const Endpoint endpoint { "127.0.0.1", freePort() };
    const LogLines failures("event=accept-failed endpoint=" + text(endpoint) + " reason=");
    std::error_code error;
    start(endpoint, error);
    REQUIRE_FALSE(error);
    TcpConnection during;
    TcpConnection after;
    {
        const DescriptorExhaustion exhausted;
        const auto usedBefore = processorTime();
        during.connect(endpoint.port);
        during.send(request);
        std::this_thread::sleep_for(exhaustion);
        CHECK(processorTime() - usedBefore < smallShare);
    }
    after.connect(endpoint.port);
    after.send(request);
    CHECK(during.receives(generousTimeout));
    CHECK(after.receives(generousTimeout));
    stop();
    CHECK(failures.count() == 1);
}

} // namespace

TEST_CASE("server of calls between hosts, descriptors ran out meanwhile, accepts connections again")
{
    protocol::Gateways::CallbackService service;
    std::unique_ptr<PeerServer> server;
    // A server of HTTP/2 sends its settings to each connection.
    checkServesAfterExhaustion(
        [&](const Endpoint& endpoint, std::error_code& error) { server = std::make_unique<PeerServer>(endpoint, std::vector<grpc::Service*> { &service }, error); },
        [&] { server.reset(); }, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
}

TEST_CASE("server of control traffic, descriptors ran out meanwhile, accepts connections again and says so once")
{
    std::unique_ptr<HttpServer> server;
    checkServesAfterExhaustion(
        [&](const Endpoint& endpoint, std::error_code& error) {
            server = std::make_unique<HttpServer>(
                endpoint, 1, [](const HttpRequest&) { return HttpResponse { 200, {}, {} }; }, error);
        },
        [&] { server.reset(); }, "GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n");
}

TEST_CASE("server of calls between hosts, port is taken, reports why")
{
    const Endpoint endpoint { "127.0.0.1", freePort() };
    protocol::Gateways::CallbackService service;
    protocol::Gateways::CallbackService otherService;
    std::error_code error;
    const PeerServer first(endpoint, { &service }, error);
    REQUIRE_FALSE(error);
    const PeerServer second(endpoint, { &otherService }, error);
    CHECK(error == std::errc::address_in_use);
}
