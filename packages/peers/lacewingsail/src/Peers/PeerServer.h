#pragma once

#include "ForwardDeclarations.h"

#include <lacewingsail/World.h>

#include <memory>
#include <system_error>
#include <vector>

namespace lacewingsail {

/// \brief Answers the other hosts' calls.
class PeerServer {
public:
    /// \brief Listens and serves. \param services must outlive the server.
    PeerServer(const Endpoint&, const std::vector<grpc::Service*>& services, std::error_code&);
    ~PeerServer();
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
