#pragma once

#include "Asio.h"

#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

namespace lacewingsail::internal {

using Answer = http::response<http::string_body>;

/// \brief The answer to a request that was not run.
Answer refusal(const NotRun&, const RequestId&);

/// \brief The answer to a request that may have run.
Answer refusal(const OutcomeUnknown&, const RequestId&);

/// \brief The answer to a request that was given up before it became an attempt.
Answer refusalBeforeAttempt(ResultCode, const RequestId&);

/// \brief The answer of an earlier request with the same idempotency key.
Answer replayedAnswer(const RecordedResponse&, const RequestId&);

} // namespace lacewingsail::internal
