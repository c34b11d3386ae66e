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

/// \brief A request of a host to the pooler of an account: the tokens that it needs and the blocks that it has closed.
struct BlockRequest {
    ClientAccountId account;
    BlockDemand demand;
    std::vector<ClosedBlock> closed;
};

/// \brief A block that a pooler grants.
struct BlockGrant {
    ClientAccountId account;
    std::uint64_t block = 0;
    std::int64_t tokens = 0;
    std::chrono::milliseconds term { 0 };
};

/// \brief One host's state of the fleet-wide limits: its slices, the pools that it keeps as a pooler, and the blocks
/// that it has drawn. The slots that a host holds give it a slice of the rate and burst of each account. One host, the
/// pooler of the account, borrows the slices of all hosts (the lenders) and grants blocks of tokens from them to the
/// hosts that draw (the drawers). Does no I/O: the caller sends its messages to other hosts and passes the replies
/// back. Thread-safe. The accounts are spread over shards, each with a mutex that is held briefly.
class LimitLedgers {
public:
    /// \brief Called when a request waits for tokens that must be drawn.
    using Wake = std::function<void()>;

    LimitLedgers(HostId self, IncarnationId incarnation, const SharingSettings&, const Clock&, Wake);

    /// \brief Replaces the limits of all client accounts.
    void configure(const Configuration&);

    /// \brief Replaces the slots that the host may use and the total number of slots.
    void setHeldSlots(const HeldSlots&);

    /// \brief Sets the hosts among which poolers are chosen, including this one unless it is leaving. Must not be empty.
    void setPoolers(std::vector<HostId>);

    /// \brief Takes a token of the account, at once or when one has been drawn. \sa Admission::admit
    void admit(const ClientAccountId&, MonotonicTime deadline, const Admission::Callback&);

    /// \brief Lender: lends the slices of \p accounts to the pooler. \param borrower the pooler's incarnation.
    std::vector<LoanOffer> lendTo(const IncarnationId& borrower, std::span<const ClientAccountId> accounts);

    /// \brief Pooler: handles the requests of one host, with at most one grant for each.
    std::vector<BlockGrant> grantBlocks(std::span<const BlockRequest>);

    /// \brief Pooler: returns the accounts whose slices are to be borrowed, and removes those without recent draws.
    /// \param hasNewPool set to whether a pool has to borrow at once: it is new, or had no tokens shortly after its start.
    std::vector<ClientAccountId> pooledAccounts(bool& hasNewPool);

    /// \brief Pooler: adds the loans of \p lender.
    /// \param requestedAt a time before the request for the loans was sent.
    void applyLoans(const HostId& lender, std::span<const LoanOffer>, MonotonicTime requestedAt);

    /// \brief Drawer: returns the requests to send to each pooler now. They count as in flight until they are passed to
    /// applyGrants() or recordDrawFailure().
    std::map<HostId, std::vector<BlockRequest>> dueBlockRequests();

    /// \brief Drawer: applies a pooler's reply to \p requested.
    /// \param requestedAt a time before the requests were sent.
    void applyGrants(const HostId& pooler, std::span<const BlockRequest> requested, std::span<const BlockGrant>, MonotonicTime requestedAt);

    /// \brief Drawer: records that the pooler did not answer or is not listed. Closed blocks in the requests are not
    /// reported again.
    void recordDrawFailure(std::span<const BlockRequest> requested);

    /// \brief Completes waiting requests: refuses expired ones and admits those for which tokens are available.
    void refuseExpired();

    /// \returns whether an account has waiting requests, open or unreported blocks, or a draw in flight.
    bool hasPendingWork() const { return m_busyCount > 0; }

private:
    struct Shard {
        std::mutex mutex;
        std::unordered_map<ClientAccountId, AccountLedger> ledgers;
    };
    using LimitTable = std::unordered_map<ClientAccountId, ClientAccount>;

    static constexpr std::size_t shardCount = 64;

    /// \returns the result, or nothing if the request waits.
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
    /// The poolers before the last change of \ref m_poolers.
    std::vector<HostId> m_previousPoolers;
    std::set<ClientAccountId> m_busy;
    std::set<ClientAccountId> m_pooled;
    bool m_hasNewPool = false;
    std::atomic<std::size_t> m_busyCount { 0 };
    std::array<Shard, shardCount> m_shards;
};

} // namespace lacewingsail
