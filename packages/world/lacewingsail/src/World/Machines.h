#pragma once

#include "Ids.h"
#include "Units.h"

#include <cstdint>
#include <string>

namespace lacewingsail {

/// \brief Address of a listener: an IP number and a port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
};

/// \returns "address:port".
std::string text(const Endpoint&);

/// \brief Reads "address:port". \returns false and leaves \p result alone if \p value is not of that form.
bool parseEndpoint(const std::string& value, Endpoint& result);

/// \brief An entry host of the fleet, as the platform's list of hosts names it.
struct Host {
    HostId id;
    ZoneId zone;
    Endpoint callers;
    Endpoint operators;
    Endpoint peers;
    bool leaving = false;

    auto operator<=>(const Host&) const = default;
};

/// \brief A backend server of a service.
struct BackendServer {
    BackendServerId id;
    ZoneId zone;
    Endpoint endpoint;
    SlotCount slots { 6 };
    /// Set by an operator: the server gets no new work.
    bool leaving = false;

    auto operator<=>(const BackendServer&) const = default;
};

} // namespace lacewingsail
