#pragma once

#include <lacewingsail/World.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingsail {

/// \brief Load that a backend server reports with its responses.
struct ReportedLoad {
    int running = 0;
    int waiting = 0;
    SlotCount slots;
};

/// \brief Names of the platform's header fields for callers, hosts and backend servers, and formats of their values.
/// The gateway itself defines no names of platform-specific fields.
struct HeaderNames {
    /// Request id set by the caller; responses repeat it.
    std::string requestId;
    /// Milliseconds that the caller, or the host, will wait for the response.
    std::string deadline;
    /// Signature by which the backend server proves that a response is its own.
    std::string signature;
    /// Client account of the request, set by the host.
    std::string account;
    /// Id of the only backend server that may run the request.
    std::string expectedServer;
    /// Load of the responding backend server.
    std::string load;
    /// Present if the backend server did not run the request.
    std::string notRun;
    /// Present with the value 1 if the backend server is about to leave and wants no new requests.
    std::string leaving;
    /// Authorization scheme under which callers present their keys.
    std::string keyScheme;
    std::function<std::optional<ReportedLoad>(std::string_view)> parseLoad;
};

} // namespace lacewingsail
