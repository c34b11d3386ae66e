#include <lacewingsail/Policy.h>

#include <map>
#include <set>

namespace lacewingsail {

namespace internal {

    template <typename Item>
    std::map<std::string_view, const Item*> indexById(const std::vector<Item>& items)
    {
        std::map<std::string_view, const Item*> result;
        for (const Item& item : items)
            result.emplace(item.id.value(), &item);
        return result;
    }

    template <typename Item, typename Id>
    ItemEdits<Item, Id> diffItems(const std::vector<Item>& before, const std::vector<Item>& after)
    {
        ItemEdits<Item, Id> edits;
        const auto previous = indexById(before);
        for (const Item& item : after) {
            const auto found = previous.find(item.id.value());
            if (found == previous.end() || *found->second != item)
                edits.upserts.push_back(item);
        }
        const auto current = indexById(after);
        for (const Item& item : before) {
            if (!current.contains(item.id.value()))
                edits.removals.push_back(item.id);
        }
        return edits;
    }

    template <typename Item, typename Id>
    std::vector<Item> applyItemEdits(const std::vector<Item>& base, const ItemEdits<Item, Id>& edits)
    {
        const std::set<Id> removed(edits.removals.begin(), edits.removals.end());
        const auto replacements = indexById(edits.upserts);
        const auto previous = indexById(base);
        std::vector<Item> result;
        result.reserve(base.size() + edits.upserts.size());
        for (const Item& item : base) {
            const auto found = replacements.find(item.id.value());
            if (found != replacements.end())
                result.push_back(*found->second);
            else if (!removed.contains(item.id))
                result.push_back(item);
        }
        for (const Item& item : edits.upserts) {
            if (!previous.contains(item.id.value()))
                result.push_back(item);
        }
        return result;
    }

    template <typename Item, typename Id>
    void describeItemEdits(const char* kind, const std::vector<Item>& base, const ItemEdits<Item, Id>& edits, std::vector<std::string>& lines)
    {
        const auto previous = indexById(base);
        for (const Item& item : edits.upserts)
            lines.push_back((previous.contains(item.id.value()) ? "~ " : "+ ") + std::string(kind) + ' ' + item.id.value());
        for (const Id& id : edits.removals)
            lines.push_back("- " + std::string(kind) + ' ' + id.value());
    }

} // namespace internal

ConfigurationEdits editsBetween(const Configuration& before, const Configuration& after)
{
    return { internal::diffItems<Service, ServiceId>(before.services, after.services),
        internal::diffItems<Route, RouteId>(before.routes, after.routes),
        internal::diffItems<ClientAccount, ClientAccountId>(before.accounts, after.accounts) };
}

Configuration applyEdits(const Configuration& base, const ConfigurationEdits& edits)
{
    return { internal::applyItemEdits(base.services, edits.services), internal::applyItemEdits(base.routes, edits.routes), internal::applyItemEdits(base.accounts, edits.accounts) };
}

std::vector<std::string> describeEdits(const Configuration& base, const ConfigurationEdits& edits)
{
    std::vector<std::string> lines;
    internal::describeItemEdits("service", base.services, edits.services, lines);
    internal::describeItemEdits("route", base.routes, edits.routes, lines);
    internal::describeItemEdits("account", base.accounts, edits.accounts, lines);
    return lines;
}

} // namespace lacewingsail
