#pragma once

#include "SnapshotCell.h"

#include <lacewingsail/Observe.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include <memory>
#include <system_error>

namespace lacewingsail {

/// \brief What the path of a request works with. All must outlive the ProxyServer.
struct ProxyServices {
    const HostSettings& settings;
    const Clock& clock;
    const SnapshotCell& snapshot;
    Admission& admission;
    EvidenceSink& evidence;
    Metrics& metrics;
    Journal& journal;
    BookingClaims& bookings;
};

/// \brief Serves callers on several threads.
class ProxyServer {
public:
    /// \brief Listens and starts to serve. \param error set if the callers' endpoint cannot be listened on.
    ProxyServer(const ProxyServices&, std::error_code& error);

    /// \brief Closes whatever is still open and joins the threads.
    ~ProxyServer();
    ProxyServer(const ProxyServer&) = delete;
    ProxyServer& operator=(const ProxyServer&) = delete;

    /// \brief Stops accepting; each kept connection is closed after its next answer, or once it has been idle
    /// for a while. Returns at once.
    void drain();

    /// \returns the number of callers' connections that are open.
    int openConnections() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
