#pragma once

#include <lacewingsail/Observe.h>
#include <lacewingsail/Platform.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/Wire.h>
#include <lacewingsail/World.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief A short description of the set of withdrawn keys, for comparing it with another host's.
struct WithdrawalSummary {
    std::uint64_t count = 0;
    std::uint64_t digest = 0;
    /// The ids that were learnt last, newest first; only so many.
    std::vector<KeyId> latest;
};

/// \brief The configuration in force and the withdrawn keys, wherever they were learnt. The version never goes
/// back and the set of withdrawn keys never shrinks. Safe to use from several threads.
class ConfigurationState {
public:
    /// \brief Called after each change, one call at a time.
    using Listener = std::function<void(const ConfigurationRecord&, ConfigurationVersion, std::shared_ptr<const WithdrawnKeys>)>;

    explicit ConfigurationState(Journal&);

    /// \brief Sets who hears of changes; to be called before any other method.
    void listen(Listener);

    /// \returns where to read the stream `configuration` next.
    LogOffset readFrom() const;

    /// \brief Folds a page of the stream `configuration` that was asked to begin at \p asked. A malformed record is journalled and skipped.
    /// \returns whether the page held a checkpoint that a new reader can go on from.
    bool foldPage(LogOffset asked, const LogPage&);

    /// \brief Takes over a checkpoint from a peer if it is later than the own fold.
    /// \returns whether the fold moved on.
    bool adopt(std::string_view checkpoint);

    /// \brief Adds withdrawn keys. \returns whether any of them was new.
    bool withdraw(const std::vector<KeyId>&);

    /// \brief Adds withdrawn keys that stand in the log.
    void withdrawLogged(const std::vector<KeyId>&);

    /// \returns the withdrawn keys that were not found in the log yet.
    std::vector<KeyId> withdrawnButNotLogged() const;

    ConfigurationVersion version() const;
    /// \returns the fold that is in force. Its configuration is shared, not copied.
    ConfigurationFold fold() const;
    /// \returns whether records that were never read have expired and no checkpoint has made up for it yet.
    bool behindGap() const;
    std::shared_ptr<const WithdrawnKeys> withdrawn() const;
    WithdrawalSummary withdrawalSummary() const;

private:
    void foldRecord(LogOffset, ConfigurationChange);
    bool takeCheckpoint(std::string_view source, ConfigurationFold);
    bool addWithdrawn(const std::vector<KeyId>&);
    void notify();

    Journal& m_journal;
    Listener m_listener;
    mutable std::mutex m_mutex;
    ConfigurationReader m_reader;
    std::shared_ptr<const WithdrawnKeys> m_withdrawn;
    std::uint64_t m_withdrawnDigest = 0;
    std::vector<KeyId> m_latestWithdrawn;
    WithdrawnKeys m_logged;
};

} // namespace lacewingsail
