#pragma once

#include "Message.h"

#include <lacewingsail/World.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>

namespace lacewingsail {

/// \brief A server for control traffic. The handler runs on one of its threads and may block it.
class HttpServer {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;

    /// Bytes of a request's body.
    static constexpr std::uint64_t largestControlBody = 64 * 1024 * 1024;

    /// \brief Listens and starts \p threads threads. \param error set if the endpoint cannot be listened on. \param largestBody
    /// in bytes; a request with a larger one ends its connection.
    HttpServer(const Endpoint&, int threads, Handler, std::error_code& error, std::uint64_t largestBody = largestControlBody);

    /// \brief Closes all connections and joins the threads.
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
