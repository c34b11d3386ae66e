#pragma once

#include "Asio.h"

#include <lacewingsail/World.h>

#include <string>
#include <string_view>

namespace lacewingsail::internal {

using RequestHeader = http::request_header<http::fields>;
using ResponseHeader = http::response_header<http::fields>;

constexpr const char* requestIdField = "X-Request-Id";
constexpr const char* deadlineField = "X-Deadline-Ms";
/// \brief Set by a backend server that did not run a request: "shed" or "leaving".
constexpr const char* notRunField = "X-Not-Run";
constexpr const char* idempotencyKeyField = "Idempotency-Key";
/// \brief Set on the recorded answer of an earlier request with the same idempotency key.
constexpr const char* replayedField = "X-Lacewingsail-Replayed";
constexpr const char* codeField = "X-Lacewingsail-Code";
constexpr const char* executionField = "X-Lacewingsail-Execution";

/// \returns ResultCode::Ok, or why the header must not be passed on: ambiguous framing, several keys, no host.
ResultCode checkRequestHeader(const RequestHeader&);

/// \returns the secret that the caller presented, or an empty text. The view lives as long as the header.
std::string_view presentedSecret(const RequestHeader&);

/// \brief Removes the key, the fields of one hop, and what only the fleet may set.
void stripForBackendServer(RequestHeader&);

/// \brief Removes the fields of one hop from a backend server's answer.
void stripForCaller(ResponseHeader&);

} // namespace lacewingsail::internal
