#pragma once

#include "RequestState.h"

namespace lacewingsail::internal {

/// \brief How an attempt ended.
enum class AttemptEnd {
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
    AttemptEnd end = AttemptEnd::NotSent;
    ResultCode code = ResultCode::ConnectFailed;
    AnswerMessage answer;
};

/// \brief Sends the request to one backend server and reads its whole answer.
/// \param until when the attempt is given up.
net::awaitable<AttemptReport> attempt(RequestServices&, std::shared_ptr<RequestState>, BackendStatePtr, MonotonicTime until);

} // namespace lacewingsail::internal
