#pragma once

#include "TextHash.h"

#include <lacewingsail/World.h>

#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief Routes indexed by path prefix. Built once for each configuration.
struct RouteTable {
    TextMap<std::vector<const Route*>> byPrefix;
};

/// \brief Indexes \p routes, which must outlive the table. Allocates.
RouteTable makeRouteTable(const std::vector<Route>& routes);

/// \brief Finds the route with the longest prefix of \p target, cut at path segments, for \p method.
/// Costs one hash look-up a path segment and allocates nothing.
/// \returns null if no route matches.
const Route* findRoute(const RouteTable&, std::string_view method, std::string_view target);

} // namespace lacewingsail
