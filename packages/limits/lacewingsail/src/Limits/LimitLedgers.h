#pragma once

#include "AccountLedger.h"

#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace lacewingsail {

/// \brief A slice that a host lends to a pooler.
struct LoanOffer {
    ClientAccountId account;
    LentSlice loan;
};

/// \brief What a host asks an account's pooler for.
struct BlockRequest {
    ClientAccountId account;
    BlockDemand demand;
    std::vector<ClosedBlock> closed;
};

/// \brief What a pooler gives.
struct BlockGrant {
    ClientAccountId account;
    std::uint64_t block = 0;
    std::int64_t tokens = 0;
    std::chrono::milliseconds term { 0 };
};

/// \brief One host's side of the fleet-wide limits: its slices, the pools that it keeps for the fleet, and the blocks
/// that it has drawn. Does no I/O: what has to be said to other hosts is asked of it and told to it.
/// Safe to use from several threads; the accounts are spread over shards, each with a lock held for a few steps.
class LimitLedgers {
public:
    /// \brief Called when requests wait for tokens that have to be drawn.
    using Wake = std::function<void()>;

    LimitLedgers(HostId self, IncarnationId incarnation, const SharingSettings&, const Clock&, Wake);

    /// \brief Takes over the limits of all client accounts.
    void configure(const Configuration&);

    /// \brief Takes over the slots that the host may use, and their number.
    void setHeldSlots(const HeldSlots&);

    /// \brief Sets the hosts among which poolers are chosen; the own one included.
    void setPoolers(std::vector<HostId>);

    /// \brief Takes a token of the account, now or when one has been drawn. \sa Admission::admit
    void admit(const ClientAccountId&, MonotonicTime deadline, const Admission::Callback&);

    /// \brief As a lender: lends the slices of \p accounts to the pooler's run \p borrower.
    std::vector<LoanOffer> lendTo(const IncarnationId& borrower, std::span<const ClientAccountId> accounts);

    /// \brief As a pooler: answers the wishes of one host. At most one grant a wish.
    std::vector<BlockGrant> grantBlocks(std::span<const BlockRequest>);

    /// \brief As a pooler: the accounts whose slices are to be borrowed.
    /// \param hasNewPool set if the pool of one of them has not borrowed yet.
    std::vector<ClientAccountId> pooledAccounts(bool& hasNewPool);

    /// \brief As a pooler: takes over what \p lender lends.
    /// \param requestedAt a moment before the request for the loans was sent.
    void applyLoans(const HostId& lender, std::span<const LoanOffer>, MonotonicTime requestedAt);

    /// \brief As a drawer: what to ask each pooler for now. What is in it counts as under way until applyGrants() or recordDrawFailure().
    std::map<HostId, std::vector<BlockRequest>> dueBlockRequests();

    /// \brief As a drawer: takes over a pooler's answer to \p asked.
    /// \param requestedAt a moment before the wishes were sent.
    void applyGrants(const HostId& pooler, std::span<const BlockRequest> requested, std::span<const BlockGrant>, MonotonicTime requestedAt);

    /// \brief As a drawer: the wishes were not answered.
    void recordDrawFailure(std::span<const BlockRequest> requested);

    /// \brief Refuses the requests that have waited long enough.
    void refuseExpired();

    /// \returns whether something waits or is under way.
    bool hasPendingWork() const { return m_busyCount > 0; }

private:
    struct Shard {
        std::mutex mutex;
        std::unordered_map<ClientAccountId, AccountLedger> ledgers;
    };
    using LimitTable = std::unordered_map<ClientAccountId, ClientAccount>;

    static constexpr std::size_t shardCount = 64;

    /// \returns the answer, or nothing if the request waits.
    std::optional<ResultCode> admitOrQueue(const ClientAccountId&, MonotonicTime deadline, const Admission::Callback&);
    Shard& shardOf(const ClientAccountId&);
    AccountLedger* findLedger(Shard&, const ClientAccountId&, MonotonicTime now);
    AccountLedger& findOrCreateLedger(Shard&, const ClientAccountId&, MonotonicTime now);
    void markBusy(const ClientAccountId&);
    void unmarkIfIdle(const AccountLedger&, const ClientAccountId&);
    std::vector<ClientAccountId> busyAccounts() const;
    HostId poolerOf(const ClientAccountId&) const;
    HostId fallbackFor(const AccountLedger&, const ClientAccountId&) const;
    bool isPoolerOf(const ClientAccountId&) const;
    bool borrowsEagerly(AccountLedger&, bool granted, MonotonicTime now) const;
    std::map<HostId, BlockRequest> blockRequestsFor(AccountLedger&, const ClientAccountId&, MonotonicTime now);
    LoanPool& poolOf(AccountLedger&);

    const HostId m_self;
    const IncarnationId m_incarnation;
    const SharingSettings m_settings;
    const Clock& m_clock;
    const Wake m_wake;
    std::atomic<std::shared_ptr<const LimitTable>> m_limits;
    std::atomic<std::shared_ptr<const HeldSlots>> m_heldSlots;
    mutable std::mutex m_mutex;
    std::vector<HostId> m_poolers;
    /// The poolers before the last change.
    std::vector<HostId> m_previousPoolers;
    std::set<ClientAccountId> m_busy;
    std::set<ClientAccountId> m_pooled;
    bool m_hasNewPool = false;
    std::atomic<std::size_t> m_busyCount { 0 };
    std::array<Shard, shardCount> m_shards;
};

} // namespace lacewingsail
