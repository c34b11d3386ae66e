#pragma once

#include "HeaderRules.h"
#include "UpstreamPool.h"

#include <lacewingsail/Proxy.h>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace lacewingsail::internal {

/// \brief What one request thread owns.
struct RequestThread {
    explicit RequestThread(const ProxyServices& proxyServices, std::uint64_t seed)
        : services(proxyServices)
        , random(seed)
        , requests(proxyServices.metrics, "requests_total", "result")
        , times(proxyServices.metrics, "request_seconds", "account")
    {
    }

    const ProxyServices& services;
    net::io_context context { 1 };
    UpstreamPool pool;
    std::mt19937_64 random;
    CounterFamily requests;
    LatencyFamily times;
};

/// \brief A request from its arrival to its answer.
struct RequestContext {
    RequestContext(RequestThread& requestThread, http::request<http::string_body> request)
        : thread(requestThread)
        , snapshot(requestThread.services.snapshot.current())
        , message(std::move(request))
        , arrivedAt(requestThread.services.clock.now())
    {
    }

    RequestThread& thread;
    /// Fixed for the whole request.
    std::shared_ptr<const FleetSnapshot> snapshot;
    http::request<http::string_body> message;
    RequestId id;
    MonotonicTime arrivedAt {};
    MonotonicTime deadline {};
    const Route* route = nullptr;
    const ClientAccount* account = nullptr;
    /// Breaks off the attempt under way; empty while there is none.
    std::function<void()> cancelAttempt;
    bool callerGone = false;
};

} // namespace lacewingsail::internal
