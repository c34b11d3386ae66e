#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace lacewingsail {

/// \brief A name that cannot be mixed up with a name of another kind.
/// \tparam Tag an otherwise unused type that tells the kinds apart.
template <typename Tag>
class StrongId {
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    auto operator<=>(const StrongId&) const = default;

private:
    std::string m_value;
};

using HostId = StrongId<struct HostTag>;
using ZoneId = StrongId<struct ZoneTag>;
using ServiceId = StrongId<struct ServiceTag>;
using BackendServerId = StrongId<struct BackendServerTag>;
using ClientAccountId = StrongId<struct ClientAccountTag>;
using KeyId = StrongId<struct KeyTag>;
using RouteId = StrongId<struct RouteTag>;
using RequestId = StrongId<struct RequestTag>;

/// \brief A version of the configuration: the number of accepted changes up to it. 0 stands for none.
enum class ConfigurationVersion : unsigned long long {
    None = 0,
};

/// \returns the version as a plain number, for logs and messages.
constexpr unsigned long long number(ConfigurationVersion version) { return static_cast<unsigned long long>(version); }

/// \brief Position of a record in a stream of the platform's log.
enum class LogOffset : std::uint64_t {};

/// \returns the offset after \p offset.
constexpr LogOffset next(LogOffset offset) { return LogOffset { static_cast<std::uint64_t>(offset) + 1 }; }

/// \returns the offset as a plain number, for logs and messages.
constexpr std::uint64_t number(LogOffset offset) { return static_cast<std::uint64_t>(offset); }

/// \brief Number of times that the platform's store has come back from a copy. It then lacks the records since the copy, and
/// gives out their offsets again. 0 for a store that does not count them.
enum class StoreEra : std::uint64_t {};

/// \returns the era as a plain number, for logs and messages.
constexpr std::uint64_t number(StoreEra era) { return static_cast<std::uint64_t>(era); }

/// \brief Position of a record in a stream of the platform's store. Everything of a newer era is newer than anything of an
/// older one.
struct StorePosition {
    StoreEra era {};
    LogOffset offset {};

    auto operator<=>(const StorePosition&) const = default;
};

/// \returns the position after \p position.
constexpr StorePosition next(StorePosition position) { return { position.era, next(position.offset) }; }

} // namespace lacewingsail

template <typename Tag>
struct std::hash<lacewingsail::StrongId<Tag>> {
    std::size_t operator()(const lacewingsail::StrongId<Tag>& id) const { return std::hash<std::string> {}(id.value()); }
};
