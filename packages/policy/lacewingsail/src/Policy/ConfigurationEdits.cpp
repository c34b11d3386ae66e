#include <lacewingsail/Policy.h>

#include <map>
#include <set>

namespace lacewingsail {

namespace internal {

    template <typename Item>
    std::map<std::string_view, const Item*> byName(const std::vector<Item>& items)
    {
        std::map<std::string_view, const Item*> result;
        for (const Item& item : items)
            result.emplace(item.id.value(), &item);
        return result;
    }

    template <typename Item, typename Id>
    ItemEdits<Item, Id> difference(const std::vector<Item>& before, const std::vector<Item>& after)
    {
        ItemEdits<Item, Id> edits;
        const auto old = byName(before);
        for (const Item& item : after) {
            const auto found = old.find(item.id.value());
            if (found == old.end() || *found->second != item)
                edits.upserts.push_back(item);
        }
        const auto fresh = byName(after);
        for (const Item& item : before) {
            if (!fresh.contains(item.id.value()))
                edits.removals.push_back(item.id);
        }
        return edits;
    }

    template <typename Item, typename Id>
    std::vector<Item> edited(const std::vector<Item>& base, const ItemEdits<Item, Id>& edits)
    {
        const std::set<Id> removed(edits.removals.begin(), edits.removals.end());
        const auto replacements = byName(edits.upserts);
        const auto old = byName(base);
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
            if (!old.contains(item.id.value()))
                result.push_back(item);
        }
        return result;
    }

    template <typename Item, typename Id>
    void describe(const char* kind, const std::vector<Item>& base, const ItemEdits<Item, Id>& edits, std::vector<std::string>& lines)
    {
        const auto old = byName(base);
        for (const Item& item : edits.upserts)
            lines.push_back((old.contains(item.id.value()) ? "~ " : "+ ") + std::string(kind) + ' ' + item.id.value());
        for (const Id& id : edits.removals)
            lines.push_back("- " + std::string(kind) + ' ' + id.value());
    }

} // namespace internal

ConfigurationEdits editsBetween(const Configuration& before, const Configuration& after)
{
    return { internal::difference<Service, ServiceId>(before.services, after.services),
        internal::difference<Route, RouteId>(before.routes, after.routes),
        internal::difference<ClientAccount, ClientAccountId>(before.accounts, after.accounts) };
}

Configuration applyEdits(const Configuration& base, const ConfigurationEdits& edits)
{
    return { internal::edited(base.services, edits.services), internal::edited(base.routes, edits.routes), internal::edited(base.accounts, edits.accounts) };
}

std::vector<std::string> describeEdits(const Configuration& base, const ConfigurationEdits& edits)
{
    std::vector<std::string> lines;
    internal::describe("service", base.services, edits.services, lines);
    internal::describe("route", base.routes, edits.routes, lines);
    internal::describe("account", base.accounts, edits.accounts, lines);
    return lines;
}

} // namespace lacewingsail
