#pragma once

#include "Message.h"

#include <lacewingsail/World.h>

#include <chrono>
#include <memory>
#include <system_error>

namespace lacewingsail {

/// \brief A client of one endpoint that keeps its connection. Blocks; use each object from one thread.
class HttpClient {
public:
    explicit HttpClient(Endpoint);
    ~HttpClient();
    HttpClient(HttpClient&&) noexcept;
    HttpClient& operator=(HttpClient&&) noexcept;

    /// \brief Sends a request and waits for the whole response.
    /// \param error set if there is none in time; the request may have had its effect all the same. It is never
    /// sent twice: a kept connection that turns out to be closed is an error of its own.
    HttpResponse send(const HttpRequest&, std::chrono::milliseconds timeout, std::error_code& error);

private:
    struct Connection;
    Endpoint m_endpoint;
    std::unique_ptr<Connection> m_connection;
};

} // namespace lacewingsail
