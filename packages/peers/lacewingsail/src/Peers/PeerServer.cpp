#include <lacewingsail/PeerCalls.h>

#include "MessageSize.h"

#include <chrono>

namespace lacewingsail {

namespace internal {

    constexpr int mostPeerThreads = 4;
    // Shorter than what a planned stop reserves for the exit of the process.
    constexpr std::chrono::milliseconds shutdownGrace { 200 };

} // namespace internal

struct PeerServer::Implementation {
    std::unique_ptr<grpc::Server> server;
};

PeerServer::PeerServer(const Endpoint& endpoint, const std::vector<grpc::Service*>& services, std::error_code& error)
    : m_implementation(std::make_unique<Implementation>())
{
    error.clear();
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, internal::mostPeerThreads);
    builder.SetMaxReceiveMessageSize(internal::largestMessage);
    int boundPort = 0;
    builder.AddListeningPort(text(endpoint), grpc::InsecureServerCredentials(), &boundPort);
    for (grpc::Service* service : services)
        builder.RegisterService(service);
    m_implementation->server = builder.BuildAndStart();
    if (!m_implementation->server || boundPort == 0)
        error = std::make_error_code(std::errc::address_in_use);
}

PeerServer::~PeerServer()
{
    if (m_implementation->server)
        m_implementation->server->Shutdown(std::chrono::system_clock::now() + internal::shutdownGrace);
}

} // namespace lacewingsail
