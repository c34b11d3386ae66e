#pragma once

#include <lacewingsail/Platform.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace lacewingsail {

/// \brief The link to one other listed host.
struct LinkView {
    HostId host;
    LinkDirection direction = LinkDirection::Both;
    bool leaving = false;
};

/// \brief Follows the platform's list of hosts and notes which of them are heard. While the list does not answer, the
/// last one read stands. Safe to use from several threads.
class FleetMembership {
public:
    /// \brief Starts to read the list. \param self the own id; the own entry is left out of peers().
    FleetMembership(HostId self, std::unique_ptr<HostList>, const Clock&);
    ~FleetMembership();

    /// \returns every other listed host. Copies the list. A host that said that it leaves is marked as leaving, even
    /// if the list lags.
    std::vector<Host> peers() const;

    /// \returns every listed host, the own one included. Copies the list.
    std::vector<Host> hosts() const;

    /// \brief Another host was heard.
    /// \param unheardByIt hosts that it says it does not hear.
    /// \param leaving whether it takes a planned stop; empty if what it said may be older than what is known.
    void heard(const HostId& from, const std::vector<HostId>& unheardByIt, std::optional<bool> leaving);

    /// \returns the links to all other listed hosts.
    std::vector<LinkView> links() const;

    /// \returns other listed hosts that have not been heard for a while, at most \p most.
    std::vector<HostId> unheard(std::size_t most) const;

    /// \brief How often a host begins an exchange with another.
    static constexpr std::chrono::milliseconds exchangeInterval { 500 };

private:
    void follow();
    LinkDirection directionOf(const Link&) const;

    const HostId m_self;
    const std::unique_ptr<HostList> m_list;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_stopRequested;
    bool m_stopping = false;
    std::vector<Host> m_hosts;
    LinkTable m_links;
    std::thread m_thread;
};

} // namespace lacewingsail
