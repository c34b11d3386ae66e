#pragma once

#include "HeaderNames.h"

#include <lacewingsail/Discovery.h>
#include <lacewingsail/Http.h>

#include <functional>
#include <memory>
#include <system_error>

namespace lacewingsail {

/// \brief What the platform's adapter gives to a gateway host.
struct GatewayParts {
    HeaderNames headerNames;
    ConfigurationDecoder decodeConfiguration;
    ServerDecoder decodeServer;
    std::function<std::string(const LiveHost&)> encodeHost;
    std::function<std::optional<LiveHost>(const HostId&, const std::string&)> decodeHost;
    /// Makes the client of the platform's store, which speaks through the given calls.
    std::function<std::unique_ptr<RecordStore>(HttpCalls&)> makeStore;
    /// Reads the settings again; nothing if they cannot be read.
    std::function<std::optional<GatewaySettings>()> reloadSettings;
};

/// \brief One host of the gateway fleet.
class GatewayHost {
public:
    GatewayHost(GatewaySettings, GatewayParts);
    ~GatewayHost();
    GatewayHost(const GatewayHost&) = delete;
    GatewayHost& operator=(const GatewayHost&) = delete;

    /// \brief Serves until a planned stop (SIGTERM or SIGINT) is complete. SIGHUP reads the settings again.
    /// \returns an error if the host cannot listen.
    std::error_code run();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
