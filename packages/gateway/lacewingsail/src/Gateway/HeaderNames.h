#pragma once

#include <lacewingsail/World.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingsail {

/// \brief What a backend server says of its load.
struct ReportedLoad {
    int running = 0;
    int waiting = 0;
    SlotCount slots;
};

/// \brief Names of the header fields through which callers, hosts and backend servers understand each other, and the
/// formats of their values. The request path knows no other names.
struct HeaderNames {
    /// Id of a request, by its caller; echoed in the answer.
    std::string requestId;
    /// Milliseconds that the caller or the host still waits.
    std::string deadline;
    /// Proof that an answer is the backend server's.
    std::string signature;
    /// Client account of the request, set by the host.
    std::string account;
    /// Backend server that alone may run the request.
    std::string expectedServer;
    /// Load of the answering backend server.
    std::string load;
    /// Present if the backend server did not run the request.
    std::string notRun;
    /// Authentication scheme of keys.
    std::string keyScheme;
    std::function<std::optional<ReportedLoad>(std::string_view)> parseLoad;
};

} // namespace lacewingsail
