#pragma once

#include "Attempt.h"

#include <optional>

namespace lacewingsail::internal {

/// \brief How the relay of an answer ended.
enum class RelayEnd {
    /// The caller has the whole answer.
    Whole,
    /// The answer broke off; the caller's connection must be closed so that the caller sees it.
    Broken,
    /// The answer broke off before its first byte went to the caller, who may still be given another one.
    NotBegun,
};

/// \brief The end of a relay, with what may be recorded of the answer.
struct RelayResult {
    RelayEnd end = RelayEnd::NotBegun;
    /// Set once the backend server's answer is certain; without a body unless it was small.
    std::optional<RecordedResponse> answer;
    /// Why the answer broke off.
    ResultCode code = ResultCode::Ok;
};

/// \brief Passes the answer on to the caller. A small one is read whole first; a long one goes piece by piece, and is
/// continued from another backend server if it breaks off and has a strong validator.
/// \param target set to the server that sent the last piece.
net::awaitable<RelayResult> relay(RequestContext&, AttemptTarget& target, AnswerBegun, beast::tcp_stream& caller);

/// \brief Settles whether the caller's connection is closed after the answer whose header is made now.
bool settleClosing(RequestContext&);

} // namespace lacewingsail::internal
