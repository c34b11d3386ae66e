#pragma once

#include "TextHash.h"

#include <lacewingsail/World.h>

#include <string_view>

namespace lacewingsail {

/// \brief Routes indexed by host name and path prefix. Built once for each configuration.
struct HostRouteTable {
    TextMap<TextMap<const Route*>> byHost;
};

/// \brief Indexes \p routes, which must outlive the table. Allocates.
HostRouteTable makeHostRouteTable(const std::vector<Route>& routes);

/// \brief Finds the route of \p host with the longest prefix of \p target; prefixes begin and end with a slash.
/// Costs one hash look-up a path segment and allocates nothing.
/// \returns null if no route matches.
const Route* findRoute(const HostRouteTable&, std::string_view host, std::string_view target);

/// \brief Chooses the service of one request, in proportion to the weights of the route's parts.
/// \param random uniformly distributed; fixed for a request, so that its further attempts stay with the service.
const ServiceId& chooseService(const Route&, std::uint64_t random);

} // namespace lacewingsail
