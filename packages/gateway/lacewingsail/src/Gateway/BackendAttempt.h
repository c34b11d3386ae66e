#pragma once

#include "RequestState.h"

namespace lacewingsail::internal {

/// \brief How an attempt ended.
enum class AttemptStatus {
    /// The server answered, with success or a failure of its own.
    Answered,
    /// Nothing was sent, since no connection could be opened.
    NotSent,
    /// The server says that it did not run the request.
    NotRun,
    /// Sent, and no whole answer came.
    Unknown,
};

/// \brief Outcome of one attempt.
struct AttemptReport {
    AttemptStatus status = AttemptStatus::NotSent;
    ResultCode code = ResultCode::ConnectFailed;
    ResponseMessage response;
    /// What it tells the host that placed it.
    PlacementOutcome outcome;
};

/// \brief How long an attempt waits for an answer.
struct StallPolicy {
    /// When it counts as stalled.
    MonotonicTime stallDeadline {};
    /// Called once it is stalled, with a function that gives it up for another server; that one returns false if the attempt
    /// has ended meanwhile. If it is not called, the attempt waits until the request's deadline. Empty if it always does.
    std::function<void(std::function<bool()>)> onStall;
};

/// \brief Sends the request to one backend server and reads its whole answer.
net::awaitable<AttemptReport> attempt(RequestServices&, std::shared_ptr<RequestState>, BackendStatePtr, StallPolicy);

} // namespace lacewingsail::internal
