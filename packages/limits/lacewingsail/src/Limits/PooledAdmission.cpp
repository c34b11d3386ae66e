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
    constexpr std::chrono::milliseconds busyPause { 2 };
    constexpr std::chrono::milliseconds idlePause { 50 };
    constexpr std::chrono::milliseconds poolerInterval { 50 };
    /// Loans are asked for again when one part in this many of their term has passed.
    constexpr int borrowParts = 4;

    SlotTerms termsOf(const HostSettings& settings, const IncarnationId& incarnation)
    {
        return { settings.id, incarnation, static_cast<std::uint32_t>(settings.limitSlots), settings.sharing.slotLease, settings.sharing.loanTerm };
    }

    std::vector<HostId> staying(const FleetMembership& membership, const HostId& self)
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
    MonotonicTime nextBorrow {};
    MonotonicTime nextPoolers {};
    std::vector<Host> peers;
    LimitLedgers ledgers { parts.settings.id, incarnation, parts.settings.sharing, parts.clock, [this] { wake(); } };
    SlotKeeper keeper { std::make_unique<HttpLogService>(parts.settings.log), internal::termsOf(parts.settings, incarnation), parts.clock, parts.journal,
        [this] { return internal::staying(parts.membership, parts.settings.id); }, [this](const HeldSlots& held) { ledgers.hold(held); } };
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

    // Waits for work; returns false when it is time to stop.
    bool waitForWork()
    {
        std::unique_lock lock(mutex);
        wakeUp.wait_for(lock, ledgers.busy() ? internal::busyPause : internal::idlePause, [this] { return woken || stopping; });
        woken = false;
        return !stopping;
    }

    void run()
    {
        while (waitForWork()) {
            ledgers.refuseLate();
            choosePoolers();
            drawAll();
            borrowAll();
        }
    }

    void choosePoolers()
    {
        const MonotonicTime now = parts.clock.now();
        if (now < nextPoolers)
            return;
        nextPoolers = now + internal::poolerInterval;
        peers = parts.membership.peers();
        std::vector<HostId> poolers;
        for (const Host& peer : peers) {
            if (!peer.leaving && calls.isHeard(peer.id))
                poolers.push_back(peer.id);
        }
        // A host that is about to stop pools for others only until they notice.
        if (!leaving || poolers.empty())
            poolers.push_back(parts.settings.id);
        ledgers.setPoolers(std::move(poolers));
    }

    void drawAll()
    {
        for (auto& [pooler, wishes] : ledgers.wishes()) {
            const auto peer = std::ranges::find(peers, pooler, &Host::id);
            if (pooler == parts.settings.id)
                drawHere(wishes);
            else if (peer != peers.end())
                calls.draw(*peer, std::move(wishes));
            else
                ledgers.failDraw(wishes);
        }
    }

    void drawHere(const std::vector<DrawWish>& wishes)
    {
        const MonotonicTime askedAt = parts.clock.now();
        ledgers.takeGrants(parts.settings.id, wishes, ledgers.draw(wishes), askedAt);
    }

    void borrowAll()
    {
        const MonotonicTime now = parts.clock.now();
        bool isNew = false;
        const std::vector<ClientAccountId> accounts = ledgers.pooledAccounts(isNew);
        if (accounts.empty() || (!isNew && now < nextBorrow))
            return;
        nextBorrow = now + parts.settings.sharing.loanTerm / internal::borrowParts;
        ledgers.takeLoans(parts.settings.id, ledgers.lendTo(incarnation, accounts), now);
        for (const Host& peer : peers)
            calls.borrow(peer, accounts);
    }
};

PooledAdmission::PooledAdmission(const PooledAdmissionParts& parts)
    : m_implementation(std::make_unique<Implementation>(parts))
{
}

PooledAdmission::~PooledAdmission() = default;

void PooledAdmission::admit(const ClientAccount& account, MonotonicTime deadline, Callback answer)
{
    m_implementation->ledgers.admit(account.id, deadline, answer);
}

void PooledAdmission::configure(const Configuration& configuration) { m_implementation->ledgers.configure(configuration); }

void PooledAdmission::giveUpSlots()
{
    m_implementation->leaving = true;
    m_implementation->keeper.giveUpAll();
}

bool PooledAdmission::ready() const { return m_implementation->keeper.ready(); }

bool PooledAdmission::gaveUpSlots() const { return m_implementation->keeper.gaveUpAll(); }

std::vector<SlotState> PooledAdmission::slots() const { return m_implementation->keeper.slots(); }

HeldSlots PooledAdmission::held() const { return m_implementation->keeper.held(); }

const IncarnationId& PooledAdmission::incarnation() const { return m_implementation->incarnation; }

grpc::Service& PooledAdmission::service() { return m_implementation->service; }

} // namespace lacewingsail
