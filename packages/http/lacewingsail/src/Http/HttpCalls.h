#pragma once

#include "Message.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <system_error>

namespace lacewingsail {

/// \brief Calls of one HTTP server that do not block.
class HttpCalls {
public:
    using Answer = std::function<void(std::error_code, HttpResponse)>;

    virtual ~HttpCalls() = default;

    /// \brief Sends a request and calls \p answer once, later, on the thread of the event loop. The request is never sent
    /// twice: without a whole response in time the error is set, and the request may have had its effect all the same.
    /// \param lane calls of one lane share a connection and are to follow each other.
    virtual void call(std::size_t lane, HttpRequest request, std::chrono::milliseconds timeout, Answer answer) = 0;
};

} // namespace lacewingsail
