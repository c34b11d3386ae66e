#pragma once

#include "Asio.h"

#include <lacewingsail/Http.h>

#include <map>
#include <memory>

namespace lacewingsail::internal {

/// \brief HTTP calls to one server on the event loop, over persistent connections.
class AsioHttpCalls final : public HttpCalls {
public:
    AsioHttpCalls(net::io_context&, Endpoint);

    void call(std::size_t lane, HttpRequest, std::chrono::milliseconds timeout, Answer) override;

private:
    struct Connection {
        explicit Connection(net::io_context& context)
            : stream(context)
        {
        }
        beast::tcp_stream stream;
        beast::flat_buffer buffer { maxUnparsedBytes };
        bool busy = false;
    };

    net::awaitable<void> run(std::size_t lane, HttpRequest, std::chrono::milliseconds timeout, Answer);

    net::io_context& m_context;
    Endpoint m_endpoint;
    std::map<std::size_t, std::shared_ptr<Connection>> m_lanes;
};

} // namespace lacewingsail::internal
