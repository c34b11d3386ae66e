#pragma once

#include <lacewingsail/Policy.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief A decoded configuration as published by the operators.
struct PublishedConfiguration {
    ConfigurationVersion version = ConfigurationVersion::None;
    Configuration configuration;
    CallerLimits limits;
    /// Whether requests on routes that are not open need the key of a client account. Holds also if no account is left.
    bool requiresKeys = true;
};

/// \brief A published configuration with its lookup tables.
struct CompiledConfiguration {
    PublishedConfiguration published;
    HostRouteTable routes;
    KeyTable keys;
    /// Accounts by id, for other hosts that request an account's tokens from this one.
    std::map<ClientAccountId, const ClientAccount*> accounts;
};

/// \brief Decodes a configuration. \returns nothing if it is malformed.
using ConfigurationDecoder = std::function<std::optional<PublishedConfiguration>(const std::string&)>;

/// \brief The newest configuration that this host has received. Never replaced by an older version.
class ActiveConfiguration {
public:
    ActiveConfiguration(ConfigurationDecoder decoder, const Clock& clock)
        : m_decoder(std::move(decoder))
        , m_clock(clock)
    {
    }

    /// \brief Decodes \p text and activates it if its version is higher than the current one. Malformed text is logged and
    /// ignored. \param source the host that sent it, or \ref storeSource; logged. \returns whether it was activated.
    bool applyIfNewer(const std::string& text, std::string_view source);

    /// Source of a configuration that was read from the store.
    static constexpr std::string_view storeSource = "store";

    ConfigurationVersion version() const { return m_current ? m_current->published.version : ConfigurationVersion::None; }

    /// \returns the current configuration, or null before the first one. A request keeps the one that it started with.
    const std::shared_ptr<const CompiledConfiguration>& current() const { return m_current; }

    /// \returns the current configuration as published, to send it to other hosts.
    const std::string& text() const { return m_text; }

    /// \returns the highest idle timeout of all versions received: callers may still rely on an earlier version.
    std::chrono::milliseconds maxIdleTimeout() const { return m_maxIdleTimeout; }

private:
    ConfigurationDecoder m_decoder;
    const Clock& m_clock;
    std::shared_ptr<const CompiledConfiguration> m_current;
    std::string m_text;
    std::chrono::milliseconds m_maxIdleTimeout { 0 };
};

} // namespace lacewingsail
