#pragma once

#include "Asio.h"

#include <memory>

namespace lacewingsail::internal {

/// \brief Closes the stream of a connection when its time is over, unless this object has been destroyed by then.
///
/// The timeout of a beast::tcp_stream, and the cancellation of its operations, do not end reads that complete at once, as those
/// from a peer do that sends without end.
template <typename Connection>
class ConnectionDeadline {
public:
    ConnectionDeadline(net::io_context& context, const std::shared_ptr<Connection>& connection, net::steady_timer::duration timeLeft)
        : m_timer(context, timeLeft)
        , m_state(std::make_shared<State>(State::Waiting))
    {
        m_timer.async_wait([weak = std::weak_ptr(connection), state = m_state](const boost::system::error_code& error) {
            const auto locked = weak.lock();
            if (error || !locked || *state != State::Waiting)
                return;
            *state = State::Expired;
            locked->stream.close();
        });
    }
    ~ConnectionDeadline()
    {
        if (*m_state == State::Waiting)
            *m_state = State::Ended;
    }
    ConnectionDeadline(const ConnectionDeadline&) = delete;
    ConnectionDeadline& operator=(const ConnectionDeadline&) = delete;

    bool expired() const { return *m_state == State::Expired; }

private:
    enum class State {
        Waiting,
        Expired,
        Ended,
    };

    net::steady_timer m_timer;
    std::shared_ptr<State> m_state;
};

} // namespace lacewingsail::internal
