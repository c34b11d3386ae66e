#pragma once

#include "ForwardDeclarations.h"

#include <lacewingsail/World.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lacewingsail {

/// \brief Connections to the other hosts, opened when first used. Safe to use from several threads.
class PeerChannels {
public:
    std::shared_ptr<grpc::Channel> to(const Endpoint&);

private:
    std::mutex m_mutex;
    std::map<Endpoint, std::shared_ptr<grpc::Channel>> m_channels;
};

} // namespace lacewingsail
