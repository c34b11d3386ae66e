#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    constexpr std::size_t maxNameBytes = 255;

    bool isVisible(char character) { return character > ' ' && character < '\x7f'; }

} // namespace internal

bool isValidName(std::string_view name)
{
    return !name.empty() && name.size() <= internal::maxNameBytes && std::ranges::all_of(name, internal::isVisible);
}

std::optional<std::string_view> invalidField(const RegisteredServer& server)
{
    if (!isValidName(server.id.value()))
        return "id";
    if (!isValidName(server.service.value()))
        return "service";
    if (!isValidName(server.zone.value()))
        return "zone";
    return std::nullopt;
}

} // namespace lacewingsail
