#include <lacewingsail/PeerCalls.h>

#include "MessageSize.h"

#include <lacewingsail/Sockets.h>

#include <grpcpp/server_posix.h>

#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lacewingsail {

namespace internal {

    constexpr int mostPeerThreads = 4;
    // Shorter than what a planned stop reserves for the exit of the process.
    constexpr std::chrono::milliseconds shutdownGrace { 200 };

} // namespace internal

struct PeerServer::Implementation {
    std::unique_ptr<grpc::Server> server;
    std::unique_ptr<Listener> listener;

    void serve(int connection);
};

void PeerServer::Implementation::serve(int connection)
{
    const int enabled = 1;
    // Without it calls only take longer.
    ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    grpc::AddInsecureChannelFromFd(server.get(), connection);
}

// The library closes a listening socket of its own for good when it cannot accept a connection, for example for want of
// descriptors.
PeerServer::PeerServer(const Endpoint& endpoint, const std::vector<grpc::Service*>& services, std::error_code& error)
    : m_implementation(std::make_unique<Implementation>())
{
    const int socket = openListeningSocket(endpoint, error);
    if (error)
        return;
    grpc::ServerBuilder builder;
    builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, internal::mostPeerThreads);
    builder.SetMaxReceiveMessageSize(internal::largestMessage);
    for (grpc::Service* service : services)
        builder.RegisterService(service);
    m_implementation->server = builder.BuildAndStart();
    if (!m_implementation->server) {
        ::close(socket);
        error = std::make_error_code(std::errc::not_supported);
        return;
    }
    m_implementation->listener = std::make_unique<Listener>(socket, endpoint, [this](int connection) { m_implementation->serve(connection); });
}

PeerServer::~PeerServer()
{
    m_implementation->listener.reset();
    if (m_implementation->server)
        m_implementation->server->Shutdown(std::chrono::system_clock::now() + internal::shutdownGrace);
}

} // namespace lacewingsail
