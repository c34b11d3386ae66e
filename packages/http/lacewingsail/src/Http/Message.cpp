#include <lacewingsail/Http.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    char lower(char character) { return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character; }

    bool sameName(std::string_view left, std::string_view right)
    {
        return std::ranges::equal(left, right, {}, lower, lower);
    }

} // namespace internal

std::string_view fieldValue(const std::vector<HttpField>& fields, std::string_view name)
{
    for (const HttpField& field : fields) {
        if (internal::sameName(field.name, name))
            return field.value;
    }
    return {};
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::string queryValue(std::string_view target, std::string_view name, std::string_view fallback)
{
    const auto mark = target.find('?');
    std::string_view query = mark == std::string_view::npos ? std::string_view {} : target.substr(mark + 1);
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return std::string(pair.substr(equals + 1));
    }
    return std::string(fallback);
}

} // namespace lacewingsail
