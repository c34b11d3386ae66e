#pragma once

#include "RequestContext.h"

#include <atomic>
#include <memory>

namespace lacewingsail::internal {

/// \brief What all callers' connections share.
struct SessionControl {
    std::atomic<bool> draining { false };
    std::atomic<int> open { 0 };
};

/// \brief Tells the thread's connections without a request that a planned stop has begun.
void hastenIdleSessions(RequestThread&);

/// \brief Serves the requests of one connection, one after the other, until it is closed.
net::awaitable<void> serveCaller(RequestThread&, SessionControl&, net::ip::tcp::socket);

} // namespace lacewingsail::internal
