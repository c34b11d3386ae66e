#pragma once

#include "Attempt.h"

namespace lacewingsail::internal {

/// \brief How the relay of an answer ended.
enum class RelayEnd {
    /// The caller has the whole answer.
    Whole,
    /// The answer broke off; the caller's connection must be closed so that the caller sees it.
    Broken,
};

/// \brief Passes the answer on to the caller, a piece at a time.
/// \param closing tells the caller that the connection will be closed after this answer.
net::awaitable<RelayEnd> relay(RequestContext&, const AttemptTarget&, AnswerBegun, beast::tcp_stream& caller, bool closing);

} // namespace lacewingsail::internal
