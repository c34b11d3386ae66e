#include "ProxyFixture.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lacewingsail::testing {

namespace {

    sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

    int listenOnAnyPort(Endpoint& endpoint)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        REQUIRE(::bind(socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(socket, 64) == 0);
        REQUIRE(::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        endpoint = { "127.0.0.1", ntohs(address.sin_port) };
        return socket;
    }

    Endpoint freeEndpoint()
    {
        Endpoint endpoint;
        ::close(listenOnAnyPort(endpoint));
        return endpoint;
    }

    bool receive(int socket, std::string& buffer)
    {
        char piece[16384];
        const ssize_t count = ::recv(socket, piece, sizeof piece, 0);
        if (count > 0)
            buffer.append(piece, static_cast<std::size_t>(count));
        return count > 0;
    }

    void sendAll(int socket, const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return;
            sent += static_cast<std::size_t>(count);
        }
    }

    std::string fieldOf(const std::string& message, const std::string& name)
    {
        const std::size_t begin = message.find("\r\n" + name + ": ");
        if (begin == std::string::npos)
            return {};
        const std::size_t value = begin + name.size() + 4;
        return message.substr(value, message.find("\r\n", value) - value);
    }

    // The size of the first message in the buffer, or npos if it is not whole.
    std::size_t messageSize(const std::string& buffer)
    {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end == std::string::npos)
            return std::string::npos;
        const std::string length = fieldOf(buffer.substr(0, end + 2), "Content-Length");
        const std::size_t size = end + 4 + (length.empty() ? 0 : std::stoul(length));
        return buffer.size() >= size ? size : std::string::npos;
    }

    std::string withId(std::string reply, const std::string& id)
    {
        const std::size_t place = reply.find("{ID}");
        return place == std::string::npos ? reply : reply.replace(place, 4, id);
    }

    Route routeOf(const char* method, const char* prefix, bool repeatable)
    {
        Route route;
        route.id = RouteId(std::string(method) + prefix);
        route.method = method;
        route.pathPrefix = prefix;
        route.service = ServiceId("service");
        route.access = Access::Open;
        route.repeatable = repeatable;
        route.deadline = std::chrono::seconds(10);
        return route;
    }

} // namespace

std::string readAll(int socket, std::size_t bytes)
{
    std::string result;
    while (result.size() < bytes && receive(socket, result)) { }
    return result;
}

RawCaller::RawCaller(const Endpoint& endpoint)
    : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address = loopback(endpoint.port);
    REQUIRE(::connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
}

RawCaller::~RawCaller() { ::close(m_socket); }

void RawCaller::send(const std::string& bytes) { sendAll(m_socket, bytes); }

std::string RawCaller::answer()
{
    while (messageSize(m_buffer) == std::string::npos && receive(m_socket, m_buffer)) { }
    const std::size_t size = std::min(messageSize(m_buffer), m_buffer.size());
    std::string answer = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return answer;
}

std::string RawCaller::rest() { return std::exchange(m_buffer, {}) + readAll(m_socket); }

ScriptedBackend::ScriptedBackend(Script script)
    : m_script(std::move(script))
    , m_listener(listenOnAnyPort(m_endpoint))
    , m_acceptThread([this] { accept(); })
{
}

ScriptedBackend::~ScriptedBackend()
{
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptThread.join();
    ::close(m_listener);
    for (const int socket : m_sockets)
        ::shutdown(socket, SHUT_RDWR);
    for (std::thread& thread : m_threads)
        thread.join();
    for (const int socket : m_sockets)
        ::close(socket);
}

std::vector<std::string> ScriptedBackend::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

void ScriptedBackend::accept()
{
    for (int socket = ::accept(m_listener, nullptr, nullptr); socket >= 0; socket = ::accept(m_listener, nullptr, nullptr)) {
        ++m_connections;
        m_sockets.push_back(socket);
        m_threads.emplace_back([this, socket] { serve(socket); });
    }
}

void ScriptedBackend::serve(int socket)
{
    std::string buffer;
    for (;;) {
        while (messageSize(buffer) == std::string::npos) {
            if (!receive(socket, buffer))
                return;
        }
        const std::string request = buffer.substr(0, messageSize(buffer));
        buffer.erase(0, request.size());
        int count = 0;
        {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(request);
            count = static_cast<int>(m_requests.size());
        }
        const Reply reply = m_script(request, count);
        sendAll(socket, withId(reply.bytes, fieldOf(request, "X-Request-Id")));
        if (reply.then == Reply::Then::Close)
            ::shutdown(socket, SHUT_RDWR);
        if (reply.then == Reply::Then::Stall)
            readAll(socket);
        if (reply.then != Reply::Then::GoOn)
            return;
    }
}

ProxyFixture::ProxyFixture(ScriptedBackend::Script script)
    : first(script)
    , second(script)
{
    settings.id = HostId("host-0");
    settings.zone = ZoneId("z1");
    settings.callers = freeEndpoint();
    settings.limits.headerBytes = 4096;
    settings.limits.bodyBytes = 1000;
    auto configuration = std::make_shared<Configuration>();
    Service service;
    service.id = ServiceId("service");
    service.backendServers = { { BackendServerId("first"), ZoneId("z1"), first.endpoint(), { 6 }, false }, { BackendServerId("second"), ZoneId("z1"), second.endpoint(), { 6 }, false } };
    configuration->services = { service };
    configuration->routes = { routeOf("GET", "/", true), routeOf("HEAD", "/", true), routeOf("POST", "/", false) };
    auto fleet = std::make_shared<FleetSnapshot>();
    fleet->tables = makeConfigurationTables(ConfigurationVersion { 1 }, configuration);
    fleet->withdrawnKeys = std::make_shared<const WithdrawnKeys>();
    const FleetStandings standings = configuredStandings(*configuration);
    fleet->standings = standings.standings;
    fleet->warmupShares = standings.warmupShares;
    fleet->loads = carryOverLoads(*configuration, nullptr);
    fleet->attemptLimits = carryOverAttemptLimits(*configuration, nullptr);
    snapshot.publish(std::move(fleet));
    std::error_code error;
    proxy = std::make_unique<ProxyServer>(ProxyServices { settings, clock, snapshot, admission, evidence, metrics, journal, bookings }, error);
    REQUIRE_FALSE(error);
}

std::string ProxyFixture::exchange(const std::string& request) const
{
    RawCaller caller(settings.callers);
    caller.send(request);
    return caller.rest();
}

} // namespace lacewingsail::testing
