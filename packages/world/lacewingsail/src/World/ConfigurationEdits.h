#pragma once

#include "Contracts.h"

#include <vector>

namespace lacewingsail {

/// \brief Changes to the items of one kind: those to add or to replace as a whole, and the names of those to remove.
template <typename Item, typename Id>
struct ItemEdits {
    std::vector<Item> upserts;
    std::vector<Id> removals;

    bool empty() const { return upserts.empty() && removals.empty(); }
    bool operator==(const ItemEdits&) const = default;
};

/// \brief The difference between two configurations, item by item. Its size does not grow with the configuration's.
struct ConfigurationEdits {
    ItemEdits<Service, ServiceId> services;
    ItemEdits<Route, RouteId> routes;
    ItemEdits<ClientAccount, ClientAccountId> accounts;

    bool empty() const { return services.empty() && routes.empty() && accounts.empty(); }
    bool operator==(const ConfigurationEdits&) const = default;
};

} // namespace lacewingsail
