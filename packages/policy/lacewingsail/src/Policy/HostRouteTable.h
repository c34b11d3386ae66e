#pragma once

#include "TextHash.h"

#include <lacewingsail/World.h>

#include <string_view>

namespace lacewingsail {

/// \brief Routes indexed by HTTP host name and path prefix. Built once per configuration.
struct HostRouteTable {
    TextMap<TextMap<const Route*>> byHost;
};

/// \brief Indexes \p routes, which must outlive the table. Allocates memory.
HostRouteTable makeHostRouteTable(const std::vector<Route>& routes);

/// \brief Finds the route of \p host with the longest prefix of \p target; prefixes begin and end with a slash.
/// Takes one hash lookup per path segment; does not allocate.
/// \param host host name of the request; its port is ignored unless a route names it.
/// \returns null if no route matches.
const Route* findRoute(const HostRouteTable&, std::string_view host, std::string_view target);

/// \brief Chooses the service of one request in proportion to the weights of the route's traffic split;
/// without a split it is the service of the route.
/// \param random uniformly distributed; the same for all attempts of a request, so that retries stay with the service.
const ServiceId& chooseService(const Route&, std::uint64_t random);

} // namespace lacewingsail
