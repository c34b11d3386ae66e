#pragma once

#include <lacewingsail/Policy.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lacewingsail {

/// \brief A decoded configuration as the operators published it.
struct PublishedConfiguration {
    ConfigurationVersion version = ConfigurationVersion::None;
    Configuration configuration;
    CallerLimits limits;
};

/// \brief A configuration with the tables that requests look things up in.
struct CompiledConfiguration {
    PublishedConfiguration published;
    HostRouteTable routes;
    KeyTable keys;
    /// Accounts by id, for other hosts that draw their tokens here.
    std::map<ClientAccountId, const ClientAccount*> accounts;
};

/// \brief Decodes a configuration. \returns nothing if it is malformed.
using ConfigurationDecoder = std::function<std::optional<PublishedConfiguration>(const std::string&)>;

/// \brief The newest configuration that this host has seen. Never goes back to an older one.
class ActiveConfiguration {
public:
    explicit ActiveConfiguration(ConfigurationDecoder decoder)
        : m_decoder(std::move(decoder))
    {
    }

    /// \brief Takes over \p text if it is newer. \returns whether it was. Malformed text is logged and ignored.
    bool applyIfNewer(const std::string& text);

    ConfigurationVersion version() const { return m_current ? m_current->published.version : ConfigurationVersion::None; }

    /// \returns null until a first configuration was seen; requests keep the one they began with.
    const std::shared_ptr<const CompiledConfiguration>& current() const { return m_current; }

    /// \returns the text as published, for other hosts.
    const std::string& text() const { return m_text; }

    /// \returns the longest idle timeout of all versions seen: callers may still go by an earlier one.
    std::chrono::milliseconds maxIdleTimeout() const { return m_maxIdleTimeout; }

private:
    ConfigurationDecoder m_decoder;
    std::shared_ptr<const CompiledConfiguration> m_current;
    std::string m_text;
    std::chrono::milliseconds m_maxIdleTimeout { 0 };
};

} // namespace lacewingsail
