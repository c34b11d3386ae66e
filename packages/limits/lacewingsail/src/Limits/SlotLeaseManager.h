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

/// \brief Name of the stream that holds claims on limit slots.
constexpr const char* slotStream = "slots";

/// \brief Keeps this host's limit slots: reads the stream `slots` and appends claims, renewals and releases, on a
/// thread of its own. While the log is away the slots stay until their lease ends. Safe to use from several threads.
class SlotLeaseManager {
public:
    /// \brief Tells which hosts are listed and not leaving, the own one included.
    using Hosts = std::function<std::vector<HostId>()>;
    /// \brief Hears of the slots that may be used, whenever they change; one call at a time.
    using Listener = std::function<void(const HeldSlots&)>;

    SlotLeaseManager(std::unique_ptr<LogService>, SlotTerms, const Clock&, Journal&, Hosts, Listener);
    ~SlotLeaseManager();
    SlotLeaseManager(const SlotLeaseManager&) = delete;
    SlotLeaseManager& operator=(const SlotLeaseManager&) = delete;

    /// \brief Begins to give every slot back.
    void releaseAll();

    /// \returns whether giving up has come to its end: every slot is released, or the log is away.
    bool releaseFinished() const { return m_releaseFinished; }

    /// \returns who holds which slot, by the records read so far.
    std::vector<SlotState> slots() const;

    /// \returns whether requests can be admitted: some host holds a slot, or the log has been away since the start, so
    /// that the other hosts' slots are not known.
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
