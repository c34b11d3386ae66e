#pragma once

#include "Asio.h"
#include "BackendTable.h"

#include <lacewingsail/Gateway.h>
#include <lacewingsail/Observe.h>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace lacewingsail::internal {

using RequestMessage = http::request<http::string_body>;
using ResponseMessage = http::response<http::string_body>;

/// \brief What all requests of a host share.
struct RequestServices {
    const GatewaySettings& settings;
    const HeaderNames& headerNames;
    const Clock& clock;
    net::io_context& context;
    ActiveConfiguration& active;
    StoreFollower& follower;
    FleetDirectory& directory;
    AccountRateLimiter& tokens;
    PlacementClient& placement;
    BackendTable& backends;
    Metrics& metrics;
    std::mt19937_64& random;
    /// Set while the host is on a planned stop.
    const bool& draining;
};

/// \brief A request from its arrival to its answer.
struct RequestState {
    RequestMessage message;
    std::string id;
    MonotonicTime arrivedAt {};
    /// Until when its caller waits, or the route lets it wait.
    MonotonicTime deadline {};
    /// Fixed for the whole request.
    std::shared_ptr<const CompiledConfiguration> configuration;
    const Route* route = nullptr;
    const ClientAccount* account = nullptr;
    ServiceId service;
    /// Backend servers that it was sent to.
    std::vector<BackendServerId> attemptedServers;
    /// Attempts that servers have run, or may have, the one under way included.
    int possibleExecutions = 0;
    /// Backend servers that it may not be sent to again.
    std::vector<BackendServerId> excludedServers;
    bool callerDisconnected = false;
    /// Breaks off the attempt under way; empty while there is none.
    std::function<void()> cancelAttempt;
};

/// \brief What the caller gets.
struct RequestResult {
    ResultCode code = ResultCode::Ok;
    ResponseMessage response;
};

/// \brief Serves one request. Never throws for what callers, servers or the network do.
net::awaitable<RequestResult> serveRequest(RequestServices&, std::shared_ptr<RequestState>);

/// \returns an answer of the host's own.
ResponseMessage makeErrorResponse(const HeaderNames&, ResultCode, const std::string& requestId, std::chrono::milliseconds retryAfter = {});

} // namespace lacewingsail::internal
