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
using AnswerMessage = http::response<http::string_body>;

/// \brief What all requests of a host share.
struct RequestServices {
    const GatewaySettings& settings;
    const HeaderNames& names;
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
    std::vector<BackendServerId> sentTo;
    /// Attempts that servers have run, or may have, the one under way included.
    int mayHaveRun = 0;
    /// Backend servers that it may not be sent to again.
    std::vector<BackendServerId> tried;
    bool callerGone = false;
    /// Breaks off the attempt under way; empty while there is none.
    std::function<void()> cancelAttempt;
};

/// \brief What the caller gets.
struct RequestEnd {
    ResultCode code = ResultCode::Ok;
    AnswerMessage answer;
};

/// \brief Serves one request. Never throws for what callers, servers or the network do.
net::awaitable<RequestEnd> serveRequest(RequestServices&, std::shared_ptr<RequestState>);

/// \returns an answer of the host's own.
AnswerMessage ownAnswer(const HeaderNames&, ResultCode, const std::string& requestId, std::chrono::milliseconds retryAfter = {});

} // namespace lacewingsail::internal
