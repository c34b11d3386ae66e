#pragma once

#include <lacewingsail/Platform.h>
#include <lacewingsail/World.h>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace lacewingsail {

/// \brief Follows the platform's list of hosts. While the list does not answer, the last one read stands.
/// Safe to use from several threads.
class FleetMembership {
public:
    /// \brief Starts to read the list. \param self the own id; the own entry is left out of peers().
    FleetMembership(HostId self, std::unique_ptr<HostList>);
    ~FleetMembership();

    /// \returns every other listed host. Copies the list.
    std::vector<Host> peers() const;

    /// \returns every listed host, the own one included. Copies the list.
    std::vector<Host> hosts() const;

private:
    void follow();

    const HostId m_self;
    const std::unique_ptr<HostList> m_list;
    mutable std::mutex m_mutex;
    std::condition_variable m_stopRequested;
    bool m_stopping = false;
    std::vector<Host> m_hosts;
    std::thread m_thread;
};

} // namespace lacewingsail
