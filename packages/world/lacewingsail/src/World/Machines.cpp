#include <lacewingsail/World.h>

#include <charconv>

namespace lacewingsail {

std::string text(const Endpoint& endpoint) { return endpoint.address + ':' + std::to_string(endpoint.port); }

bool parseEndpoint(const std::string& value, Endpoint& result)
{
    const auto colon = value.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    unsigned port = 0;
    const char* first = value.data() + colon + 1;
    const char* last = value.data() + value.size();
    const auto [end, error] = std::from_chars(first, last, port);
    if (error != std::errc {} || end != last || port == 0 || port > 65535)
        return false;
    result = { value.substr(0, colon), static_cast<std::uint16_t>(port) };
    return true;
}

} // namespace lacewingsail
