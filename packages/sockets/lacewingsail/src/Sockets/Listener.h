#pragma once

#include <lacewingsail/World.h>

#include <functional>
#include <memory>
#include <system_error>

namespace lacewingsail {

/// \brief Opens a TCP socket that listens on the endpoint. Its connections wait in its queue until they are accepted.
/// \param error set if the endpoint cannot be listened on. \returns the descriptor, non-blocking, or -1.
int openListeningSocket(const Endpoint&, std::error_code& error);

/// \brief Accepts connections on a thread of its own until it is destroyed. A connection that cannot be accepted, for example
/// for want of descriptors, is tried again after a delay; the event `accept-failed` tells the endpoint and the reason.
class Listener {
public:
    /// Takes over the descriptor of an accepted connection, which is non-blocking. Runs on the listener's thread.
    using Handler = std::function<void(int descriptor)>;

    /// \param descriptor of a listening socket, which the listener closes in the end. \param endpoint of that socket.
    Listener(int descriptor, Endpoint endpoint, Handler);

    /// \brief Closes the socket and joins the thread.
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
