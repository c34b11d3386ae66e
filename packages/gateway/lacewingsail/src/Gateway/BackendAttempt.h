#pragma once

#include "RequestState.h"

namespace lacewingsail::internal {

/// \brief How an attempt ended.
enum class AttemptStatus {
    /// The server sent a response, be it a success or an error.
    Answered,
    /// Nothing was sent: no connection could be opened, or meanwhile the server stopped accepting requests or the
    /// request was cancelled.
    NotSent,
    /// Nothing was sent: this host lacks the means for a connection. Says nothing about the server.
    HostExhausted,
    /// The server stated that it did not run the request.
    NotRun,
    /// The request was sent, but no complete and valid response was received, so the server may have run it.
    Unknown,
};

/// \brief Outcome of one attempt.
struct AttemptReport {
    AttemptStatus status = AttemptStatus::NotSent;
    ResultCode code = ResultCode::ConnectFailed;
    ResponseMessage response;
    /// Reported to the placement coordinator.
    PlacementOutcome outcome;
};

/// \brief When an attempt counts as stalled, and what happens then.
struct StallPolicy {
    MonotonicTime stallDeadline {};
    /// Called when no response has been received by \ref stallDeadline. Its argument abandons the attempt in favour of
    /// another server and returns false if the attempt has ended meanwhile; unless it is called, the attempt continues
    /// until the request's deadline. Empty if the attempt is never abandoned.
    std::function<void(std::function<bool()>)> onStall;
};

/// \brief Sends the request to one backend server and reads the complete response.
net::awaitable<AttemptReport> attempt(RequestServices&, std::shared_ptr<RequestState>, BackendStatePtr, StallPolicy);

} // namespace lacewingsail::internal
