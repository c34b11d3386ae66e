#include <lacewingsail/Limits.h>

#include "LimitCalls.h"
#include "LimitService.h"

#include <lacewingsail/Wire.h>

#include <algorithm>
#include <condition_variable>
#include <thread>

namespace lacewingsail {

namespace internal {

    constexpr int incarnationBytes = 8;
    constexpr std::chrono::milliseconds busyPollInterval { 2 };
    constexpr std::chrono::milliseconds idlePollInterval { 50 };
    constexpr std::chrono::milliseconds poolerChoiceInterval { 50 };
    /// Loans are renewed after 1/loanRenewalParts of their term.
    constexpr int loanRenewalParts = 4;

    SlotTerms termsOf(const HostSettings& settings, const IncarnationId& incarnation)
    {
        return { settings.id, incarnation, static_cast<std::uint32_t>(settings.limitSlots), settings.sharing.slotLease, settings.sharing.loanTerm };
    }

    std::vector<HostId> hostsNotLeaving(const FleetMembership& membership, const HostId& self)
    {
        std::vector<HostId> hosts { self };
        for (const Host& host : membership.peers()) {
            if (!host.leaving)
                hosts.push_back(host.id);
        }
        return hosts;
    }

} // namespace internal

struct PooledAdmission::Implementation {
    explicit Implementation(const PooledAdmissionParts& given)
        : parts(given)
        , thread([this] { run(); })
    {
    }

    ~Implementation()
    {
        {
            const std::lock_guard lock(mutex);
            stopping = true;
        }
        wakeUp.notify_all();
        thread.join();
    }

    const PooledAdmissionParts parts;
    const IncarnationId incarnation { randomHex(internal::incarnationBytes) };
    std::mutex mutex;
    std::condition_variable wakeUp;
    bool woken = false;
    bool stopping = false;
    std::atomic<bool> leaving { false };
    MonotonicTime nextBorrowAt {};
    MonotonicTime nextPoolerChoiceAt {};
    std::vector<Host> peers;
    LimitLedgers ledgers { parts.settings.id, incarnation, parts.settings.sharing, parts.clock, [this] { wake(); } };
    SlotLeaseManager slotManager { std::make_unique<HttpLogService>(parts.settings.log), internal::termsOf(parts.settings, incarnation), parts.clock, parts.journal,
        [this] { return internal::hostsNotLeaving(parts.membership, parts.settings.id); }, [this](const HeldSlots& held) { ledgers.setHeldSlots(held); } };
    internal::LimitService service { parts.settings.fleetSecret, ledgers, parts.metrics, [this] { wake(); } };
    internal::LimitCalls calls { parts.settings.id, incarnation, parts.settings.fleetSecret, ledgers, parts.channels, parts.metrics, parts.clock };
    std::thread thread;

    void wake()
    {
        {
            const std::lock_guard lock(mutex);
            woken = true;
        }
        wakeUp.notify_one();
    }

    // Waits for work. Returns false if the thread is to stop.
    bool waitForWork()
    {
        std::unique_lock lock(mutex);
        wakeUp.wait_for(lock, ledgers.hasPendingWork() ? internal::busyPollInterval : internal::idlePollInterval, [this] { return woken || stopping; });
        woken = false;
        return !stopping;
    }

    void run()
    {
        while (waitForWork()) {
            ledgers.refuseExpired();
            choosePoolers();
            drawAll();
            borrowAll();
        }
    }

    void choosePoolers()
    {
        const MonotonicTime now = parts.clock.now();
        if (now < nextPoolerChoiceAt)
            return;
        nextPoolerChoiceAt = now + internal::poolerChoiceInterval;
        peers = parts.membership.peers();
        std::vector<HostId> poolers;
        for (const Host& peer : peers) {
            if (!peer.leaving && calls.isHeard(peer.id))
                poolers.push_back(peer.id);
        }
        // A host that is about to stop chooses itself only if there is no other. Other hosts draw from it until they
        // notice.
        if (!leaving || poolers.empty())
            poolers.push_back(parts.settings.id);
        ledgers.setPoolers(std::move(poolers));
    }

    void drawAll()
    {
        for (auto& [pooler, blockRequests] : ledgers.dueBlockRequests()) {
            const auto peer = std::ranges::find(peers, pooler, &Host::id);
            if (pooler == parts.settings.id)
                grantLocally(blockRequests);
            else if (peer != peers.end())
                calls.draw(*peer, std::move(blockRequests));
            else
                ledgers.recordDrawFailure(blockRequests);
        }
    }

    void grantLocally(const std::vector<BlockRequest>& blockRequests)
    {
        const MonotonicTime requestedAt = parts.clock.now();
        ledgers.applyGrants(parts.settings.id, blockRequests, ledgers.grantBlocks(blockRequests), requestedAt);
    }

    void borrowAll()
    {
        const MonotonicTime now = parts.clock.now();
        bool hasNewPool = false;
        const std::vector<ClientAccountId> accounts = ledgers.pooledAccounts(hasNewPool);
        if (accounts.empty() || (!hasNewPool && now < nextBorrowAt))
            return;
        nextBorrowAt = now + parts.settings.sharing.loanTerm / internal::loanRenewalParts;
        ledgers.applyLoans(parts.settings.id, ledgers.lendTo(incarnation, accounts), now);
        for (const Host& peer : peers)
            calls.borrow(peer, accounts);
    }
};

PooledAdmission::PooledAdmission(const PooledAdmissionParts& parts)
    : m_implementation(std::make_unique<Implementation>(parts))
{
}

PooledAdmission::~PooledAdmission() = default;

void PooledAdmission::admit(const ClientAccount& account, MonotonicTime deadline, Callback callback)
{
    m_implementation->ledgers.admit(account.id, deadline, callback);
}

void PooledAdmission::configure(const Configuration& configuration) { m_implementation->ledgers.configure(configuration); }

void PooledAdmission::releaseSlots()
{
    m_implementation->leaving = true;
    m_implementation->slotManager.releaseAll();
}

bool PooledAdmission::ready() const { return m_implementation->slotManager.ready(); }

bool PooledAdmission::slotReleaseFinished() const { return m_implementation->slotManager.releaseFinished(); }

std::vector<SlotState> PooledAdmission::slots() const { return m_implementation->slotManager.slots(); }

HeldSlots PooledAdmission::held() const { return m_implementation->slotManager.held(); }

const IncarnationId& PooledAdmission::incarnation() const { return m_implementation->incarnation; }

grpc::Service& PooledAdmission::service() { return m_implementation->service; }

} // namespace lacewingsail
