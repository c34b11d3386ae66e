#pragma once

#include "Asio.h"

#include <lacewingsail/World.h>

namespace lacewingsail::internal {

/// \brief Single-threaded event loop of a gateway host.
class AsioEventLoop final : public EventLoop {
public:
    void post(Handler handler) override { net::post(m_context, std::move(handler)); }

    void after(std::chrono::milliseconds delay, Handler handler) override
    {
        auto timer = std::make_shared<net::steady_timer>(m_context, delay);
        timer->async_wait([timer, handler = std::move(handler)](const boost::system::error_code& error) {
            if (!error)
                handler();
        });
    }

    net::io_context& context() { return m_context; }

private:
    net::io_context m_context { 1 };
};

} // namespace lacewingsail::internal
