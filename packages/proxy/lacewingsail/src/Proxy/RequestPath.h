#pragma once

#include "RequestContext.h"

namespace lacewingsail::internal {

/// \brief Serves one request whose message has arrived whole and passed checkRequestHeader(): route, key, limit, backend server, answer.
/// \returns whether the caller's connection may be kept.
net::awaitable<bool> serveRequest(RequestContext&, beast::tcp_stream& caller);

/// \brief Sends an answer of the fleet's own. \returns whether it was sent whole.
net::awaitable<bool> sendAnswer(beast::tcp_stream& caller, http::response<http::string_body>, bool closing);

} // namespace lacewingsail::internal
