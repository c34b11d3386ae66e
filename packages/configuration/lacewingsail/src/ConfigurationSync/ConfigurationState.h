#pragma once

#include <lacewingsail/Observe.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief The configuration in force and the withdrawn keys, wherever they were learnt. The version never goes
/// back and the set of withdrawn keys never shrinks. Safe to use from several threads.
class ConfigurationState {
public:
    /// \brief Called after each change, one call at a time.
    using Listener = std::function<void(const ConfigurationRecord&, ConfigurationVersion, std::shared_ptr<const WithdrawnKeys>)>;

    explicit ConfigurationState(Journal&);

    /// \brief Sets who hears of changes; to be called before any other method.
    void listen(Listener);

    /// \brief Folds a record of the stream `configuration`. A malformed record is journalled and skipped.
    void foldRecord(std::string_view body);

    /// \brief Takes over a version from a peer if it is newer than the own one.
    void adopt(ConfigurationVersion, std::string_view body);

    /// \brief Adds withdrawn keys. \returns whether any of them was new.
    bool withdraw(const std::vector<KeyId>&);

    ConfigurationVersion version() const;
    /// \returns the record that set the current version, as published.
    std::string currentRecord() const;
    std::shared_ptr<const WithdrawnKeys> withdrawn() const;

private:
    void notify();

    Journal& m_journal;
    Listener m_listener;
    mutable std::mutex m_mutex;
    ConfigurationFold m_fold;
    std::shared_ptr<const WithdrawnKeys> m_withdrawn;
};

} // namespace lacewingsail
