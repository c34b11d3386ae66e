#pragma once

#include "Asio.h"

#include <lacewingsail/Http.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include <memory>
#include <unordered_map>
#include <vector>

namespace lacewingsail::internal {

/// \brief A connection to a backend server.
struct UpstreamConnection {
    explicit UpstreamConnection(net::io_context& context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer { maxUnparsedBytes };
};

using UpstreamConnectionPtr = std::unique_ptr<UpstreamConnection>;

/// \brief Idle connections of one request thread, by backend server. Used by that thread only.
class UpstreamPool {
public:
    /// \returns an idle connection on which nothing has arrived and which is not closed, or null.
    UpstreamConnectionPtr take(const std::shared_ptr<BackendServerLoad>&);

    /// \brief Keeps a connection whose last answer was whole.
    void put(const std::shared_ptr<BackendServerLoad>&, UpstreamConnectionPtr);

private:
    // The load of a backend server identifies it for as long as it is configured.
    std::unordered_map<std::shared_ptr<BackendServerLoad>, std::vector<UpstreamConnectionPtr>> m_idle;
};

} // namespace lacewingsail::internal
