#pragma once

#include "Message.h"

#include <lacewingsail/World.h>

#include <chrono>
#include <memory>
#include <system_error>

namespace lacewingsail {

/// \brief A client of one endpoint that keeps its connection. Blocks; only interrupt() may be called from another
/// thread than the one that sends.
class HttpClient {
public:
    explicit HttpClient(Endpoint);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// \brief Sends a request and waits for the whole response.
    /// \param error set if there is none in time; the request may have had its effect all the same. It is never
    /// sent twice: a kept connection that turns out to be closed is an error of its own.
    HttpResponse send(const HttpRequest&, std::chrono::milliseconds timeout, std::error_code& error);

    /// \brief Breaks off the request under way and lets every later one fail at once.
    void interrupt();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
