#pragma once

#include "HeaderRules.h"
#include "UpstreamPool.h"

#include <lacewingsail/Proxy.h>

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lacewingsail::internal {

/// \brief Wakes a connection that waits for its next request.
struct IdleWait {
    explicit IdleWait(net::io_context& context)
        : timer(context)
    {
    }

    net::steady_timer timer;
    net::steady_timer::time_point closeAt;
    bool readable = false;
};

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
    /// Connections that wait for their next request.
    std::set<IdleWait*> idle;
    std::mt19937_64 random;
    CounterFamily requests;
    LatencyFamily times;
    /// Reused by every choice of a backend server, so that a choice allocates nothing.
    std::vector<Candidate> candidates;
    /// Choices made so far, for the strategies that take each server in turn.
    std::uint64_t choices = 0;
};

/// \brief A request from its arrival to its answer.
struct RequestContext {
    RequestContext(RequestThread& requestThread, const std::atomic<bool>& hostDraining, http::request<http::string_body> request)
        : thread(requestThread)
        , draining(hostDraining)
        , snapshot(requestThread.services.snapshot.current())
        , message(std::move(request))
        , arrivedAt(requestThread.services.clock.now())
    {
    }

    RequestThread& thread;
    /// Set while the host is on a planned stop.
    const std::atomic<bool>& draining;
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
    bool callerDisconnected = false;
    /// Whether an attempt ended that may have had an effect: from then on "not run" is no longer true.
    bool mayHaveRun = false;
    /// Whether the caller's connection is closed after the answer; settled when the answer's header is made.
    bool closing = false;
    /// Backend servers that broke an answer to this request; they get no further attempt.
    std::vector<BackendServerId> avoided;
    /// What the pointers above point into, once a later snapshot has taken its place.
    std::vector<std::shared_ptr<const FleetSnapshot>> earlierSnapshots;
};

} // namespace lacewingsail::internal
