#include <lacewingsail/Policy.h>

#include <arpa/inet.h>

#include <algorithm>
#include <array>

namespace lacewingsail {

namespace internal {

    constexpr std::size_t maxNameBytes = 255;

    // A server works on one request of a connection at a time and accepts some hundred connections.
    constexpr SlotCount maxSlots { 1000 };
    // Servers are slow for seconds after their start, and for minutes if they load much.
    constexpr std::chrono::hours maxWarmup { 1 };
    // The start of the year 2200.
    constexpr std::chrono::milliseconds maxStartedAt { 7'258'118'400'000 };
    // One heartbeat a second for 136 years.
    constexpr std::uint64_t maxHeartbeat = 4'294'967'295;

    // More than ten times the hosts that docs/CAPACITY.md plans for.
    constexpr std::size_t maxFleetSize = 5000;

    bool isVisible(char character) { return character > ' ' && character < '\x7f'; }

    bool isAddress(const std::string& text)
    {
        std::array<unsigned char, sizeof(in6_addr)> bytes {};
        return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 || inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
    }

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
    if (!internal::isAddress(server.endpoint.address) || server.endpoint.port == 0)
        return "address";
    if (server.slots <= SlotCount { 0 } || server.slots > internal::maxSlots)
        return "slots";
    // A warm-up that ended a moment ago may be negative.
    if (server.warmupLeft < -internal::maxWarmup || server.warmupLeft > internal::maxWarmup)
        return "warm-up";
    if (server.startedAt < std::chrono::milliseconds(0) || server.startedAt > internal::maxStartedAt)
        return "start";
    if (server.heartbeat > internal::maxHeartbeat)
        return "heartbeat";
    return std::nullopt;
}

bool isValidFleetSize(std::size_t hosts) { return hosts <= internal::maxFleetSize; }

} // namespace lacewingsail
