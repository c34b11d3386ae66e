#include "UpstreamPool.h"

namespace lacewingsail::internal {

namespace {

    constexpr std::size_t mostIdleConnections = 8;

    // A closed connection reads as its end; a surplus answer reads as data. Neither may be used again.
    bool isQuiet(UpstreamConnection& connection)
    {
        if (connection.buffer.size() != 0)
            return false;
        auto& socket = connection.stream.socket();
        boost::system::error_code error;
        socket.non_blocking(true, error);
        char byte = 0;
        socket.receive(net::buffer(&byte, 1), net::socket_base::message_peek, error);
        return error == net::error::would_block;
    }

} // namespace

UpstreamConnectionPtr UpstreamPool::take(const std::shared_ptr<BackendServerLoad>& server)
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
        return nullptr;
    auto& connections = found->second;
    while (!connections.empty()) {
        UpstreamConnectionPtr connection = std::move(connections.back());
        connections.pop_back();
        if (isQuiet(*connection))
            return connection;
    }
    return nullptr;
}

void UpstreamPool::put(const std::shared_ptr<BackendServerLoad>& server, UpstreamConnectionPtr connection)
{
    auto& connections = m_idle[server];
    if (connections.size() < mostIdleConnections)
        connections.push_back(std::move(connection));
}

} // namespace lacewingsail::internal
