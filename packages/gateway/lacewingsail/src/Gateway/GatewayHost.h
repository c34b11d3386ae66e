#pragma once

#include "HeaderNames.h"

#include <lacewingsail/Discovery.h>
#include <lacewingsail/Http.h>

#include <functional>
#include <memory>
#include <system_error>

namespace lacewingsail {

/// \brief Platform-specific parts of a gateway host, supplied by the platform adapter.
struct GatewayParts {
    HeaderNames headerNames;
    ConfigurationDecoder decodeConfiguration;
    ServerDecoder decodeServer;
    std::function<std::string(const HostRecord&)> encodeHost;
    std::function<std::optional<HostRecord>(const HostId&, const std::string&)> decodeHost;
    /// Creates a client of the platform's store that sends its HTTP requests through the argument.
    std::function<std::unique_ptr<RecordStore>(HttpCalls&)> makeStore;
    /// Reads the settings again. Returns nothing if they are not readable or not valid.
    std::function<std::optional<GatewaySettings>()> reloadSettings;
};

/// \brief One host of the gateway fleet. All requests are served by the thread that calls run().
class GatewayHost {
public:
    /// \brief To be called on the thread that calls run().
    GatewayHost(GatewaySettings, GatewayParts);
    ~GatewayHost();
    GatewayHost(const GatewayHost&) = delete;
    GatewayHost& operator=(const GatewayHost&) = delete;

    /// \brief Serves requests until a planned stop, which SIGTERM or SIGINT starts, is complete. SIGHUP reloads the
    /// settings. Unblocks these signals in the calling thread: the process may block them at its start, so that those that come
    /// before their handlers are installed are handled too.
    /// A port that is taken is tried again for 90 s; the host is not ready meanwhile.
    /// \returns an error if the host cannot listen; the event `host-not-started` tells the endpoint.
    std::error_code run();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
