#pragma once

#include "SlotClaims.h"

#include <lacewingsail/Observe.h>
#include <lacewingsail/Platform.h>
#include <lacewingsail/World.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string_view>
#include <thread>
#include <vector>

namespace lacewingsail {

/// \brief Name of the log's stream of slot records.
constexpr const char* slotStream = "slots";

/// \brief Holds this host's limit slots: reads the stream `slots` and appends claims, renewals and releases on its own
/// thread. If the log is unavailable, the slots stay usable until their lease expires. Thread-safe.
class SlotLeaseManager {
public:
    /// \brief Returns the listed hosts that are not leaving, including this one.
    using Hosts = std::function<std::vector<HostId>()>;
    /// \brief Called with the usable slots whenever they change, one call at a time.
    using Listener = std::function<void(const HeldSlots&)>;

    SlotLeaseManager(std::unique_ptr<LogService>, SlotTerms, const Clock&, Journal&, Hosts, Listener);
    ~SlotLeaseManager();
    SlotLeaseManager(const SlotLeaseManager&) = delete;
    SlotLeaseManager& operator=(const SlotLeaseManager&) = delete;

    /// \brief Starts to release every slot.
    void releaseAll();

    /// \returns whether the release has ended: every slot is released, or the releases were not read back in time.
    bool releaseFinished() const { return m_releaseFinished; }

    /// \returns the holders of all slots according to the records read so far.
    std::vector<SlotState> slots() const;

    /// \returns whether requests can be admitted: a host holds a slot, or no read of the log has succeeded within
    /// startupLogTimeout of the start or since, so that the slots of other hosts are unknown.
    bool ready() const;

    /// \returns the slots that this host may use.
    HeldSlots held() const;

private:
    void run();
    bool readPage();
    void processRecord(const LogRecord&);
    void appendNext();
    void publish();
    void checkReleased(bool readSucceeded);

    const std::unique_ptr<LogService> m_log;
    const SlotTerms m_terms;
    const Clock& m_clock;
    const MonotonicTime m_startedAt;
    Journal& m_journal;
    const Hosts m_hosts;
    const Listener m_listener;
    mutable std::mutex m_mutex;
    SlotClaims m_claims;
    HeldSlots m_published;
    LogOffset m_position {};
    bool m_hasRead = false;
    bool m_atEnd = false;
    bool m_releasing = false;
    MonotonicTime m_releaseDeadline {};
    std::atomic<bool> m_releaseFinished { false };
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace lacewingsail
