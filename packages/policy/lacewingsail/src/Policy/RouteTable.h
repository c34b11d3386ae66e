#pragma once

#include "TextHash.h"

#include <lacewingsail/World.h>

#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief Routes indexed by path prefix. Built once per configuration.
struct RouteTable {
    TextMap<std::vector<const Route*>> byPrefix;
};

/// \brief Indexes \p routes, which must outlive the table. Allocates memory.
RouteTable makeRouteTable(const std::vector<Route>& routes);

/// \brief Finds the route for \p method whose prefix matches the most path segments of \p target.
/// Takes one hash lookup per path segment; does not allocate.
/// \returns null if no route matches.
const Route* findRoute(const RouteTable&, std::string_view method, std::string_view target);

} // namespace lacewingsail
