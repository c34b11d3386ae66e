#pragma once

#include "Asio.h"
#include "BackendTable.h"
#include "MessageBuffers.h"

#include <lacewingsail/Gateway.h>
#include <lacewingsail/Observe.h>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace lacewingsail::internal {

using RequestMessage = http::request<http::string_body>;
using ResponseMessage = http::response<http::string_body>;

/// \brief State and collaborators that all requests of a host share.
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
    ColdServerLimiter& coldServers;
    BackendTable& backends;
    /// Bodies of requests until their end.
    MessageBuffers& requestBuffers;
    /// Responses that are being read.
    MessageBuffers& responseBuffers;
    Metrics& metrics;
    std::mt19937_64& random;
    const std::optional<PlannedStop>& plannedStop;
};

/// \brief A request from its arrival until its response.
struct RequestState {
    RequestMessage message;
    /// Null if it has no body.
    std::shared_ptr<MessageBuffers::Reservation> bodyMemory;
    std::string id;
    MonotonicTime arrivedAt {};
    /// The earlier one of the caller's and the route's deadline, less a margin for the delivery of the response.
    MonotonicTime deadline {};
    /// The one in force when the request was complete; until then the one by which its header was checked.
    std::shared_ptr<const CompiledConfiguration> configuration;
    const Route* route = nullptr;
    const ClientAccount* account = nullptr;
    ServiceId service;
    /// Backend servers that the request was sent to.
    std::vector<BackendServerId> attemptedServers;
    /// Attempts that servers have run or may have run, including the current one.
    int possibleExecutions = 0;
    /// Backend servers that must not be tried again, including those that could not be reached.
    std::vector<BackendServerId> excludedServers;
    /// The caller has disconnected, or the response has been decided: the request is sent to no further server.
    bool cancelled = false;
    /// Cancels the current attempt; empty if there is none.
    std::function<void()> cancelAttempt;
    /// Gives up its place in a coordinator's queue; empty if it has none.
    std::function<void()> cancelPlacement;
};

/// \brief Result code and response of a request.
struct RequestResult {
    ResultCode code = ResultCode::Ok;
    ResponseMessage response;
};

/// \brief Checks by its header whether a request can be served; its body may be incomplete. \returns the response if it cannot.
///
/// May be called again for a request that was not refused: what was found is kept unless the configuration has changed.
std::optional<RequestResult> refuseByHeader(RequestServices&, RequestState&);

/// \brief Serves one request that is complete. Failures of callers, servers or the network do not throw.
net::awaitable<RequestResult> serveRequest(RequestServices&, std::shared_ptr<RequestState>);

/// \brief Ends a request whose result has not been determined and cancels its current attempt. \returns the response, which
/// states whether the request may have been run.
RequestResult endRequest(RequestServices&, RequestState&);

/// \returns the host's own response for \p code, with Retry-After if \p retryAfter is not zero.
ResponseMessage makeErrorResponse(const HeaderNames&, ResultCode code, const std::string& requestId, std::chrono::milliseconds retryAfter = {});

} // namespace lacewingsail::internal
