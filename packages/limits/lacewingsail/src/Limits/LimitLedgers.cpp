#include <lacewingsail/Limits.h>

#include <algorithm>
#include <cassert>

namespace lacewingsail {

namespace internal {

    /// How often a new pool without tokens asks for loans while the account's previous pooler may still have slices.
    constexpr std::chrono::milliseconds eagerBorrowInterval { 50 };
    /// How long slices are borrowed for a pool after the last draw.
    constexpr std::chrono::seconds poolIdleTimeout { 10 };
    /// The same for a pool that other hosts draw from although this host chooses another pooler.
    constexpr std::chrono::milliseconds foreignPoolIdleTimeout { 500 };
    constexpr std::size_t maxWaiters = 1024;
    /// How long before its deadline a waiting request is refused.
    constexpr std::chrono::milliseconds refusalMargin { 5 };

    HostId choosePooler(std::span<const HostId> poolers, const ClientAccountId& account)
    {
        return *std::ranges::max_element(poolers, {}, [&](const HostId& host) { return rendezvousWeight(account.value(), host.value()); });
    }

} // namespace internal

LimitLedgers::LimitLedgers(HostId self, IncarnationId incarnation, const SharingSettings& settings, const Clock& clock, Wake wake)
    : m_self(std::move(self))
    , m_incarnation(std::move(incarnation))
    , m_settings(settings)
    , m_clock(clock)
    , m_wake(std::move(wake))
    , m_limits(std::make_shared<const LimitTable>())
    , m_heldSlots(std::make_shared<const HeldSlots>())
    , m_poolers { m_self }
    , m_previousPoolers { m_self }
{
}

void LimitLedgers::configure(const Configuration& configuration)
{
    auto limits = std::make_shared<LimitTable>();
    for (const ClientAccount& account : configuration.accounts)
        limits->emplace(account.id, ClientAccount { account.id, account.rate, account.burst, {} });
    m_limits = std::move(limits);
}

void LimitLedgers::setHeldSlots(const HeldSlots& held) { m_heldSlots = std::make_shared<const HeldSlots>(held); }

void LimitLedgers::setPoolers(std::vector<HostId> poolers)
{
    assert(!poolers.empty());
    const std::lock_guard lock(m_mutex);
    if (poolers == m_poolers)
        return;
    m_previousPoolers = std::exchange(m_poolers, std::move(poolers));
}

LimitLedgers::Shard& LimitLedgers::shardOf(const ClientAccountId& account) { return m_shards[stableHash(account.value()) % shardCount]; }

// Returns null if the account is unknown. Brings the local slice of the ledger up to date.
AccountLedger* LimitLedgers::findLedger(Shard& shard, const ClientAccountId& account, MonotonicTime now)
{
    const auto limits = m_limits.load();
    const auto limit = limits->find(account);
    if (limit == limits->end())
        return nullptr;
    const auto held = m_heldSlots.load();
    AccountLedger& ledger = shard.ledgers[account];
    updateLocalSlice(ledger.localSlice, limit->second, *held, now);
    return &ledger;
}

// An account that was removed from the configuration has neither rate nor burst.
AccountLedger& LimitLedgers::findOrCreateLedger(Shard& shard, const ClientAccountId& account, MonotonicTime now)
{
    if (AccountLedger* known = findLedger(shard, account, now))
        return *known;
    AccountLedger& ledger = shard.ledgers[account];
    updateLocalSlice(ledger.localSlice, ClientAccount { account, {}, {}, {} }, *m_heldSlots.load(), now);
    return ledger;
}

void LimitLedgers::markBusy(const ClientAccountId& account)
{
    const std::lock_guard lock(m_mutex);
    m_busy.insert(account);
    m_busyCount = m_busy.size();
}

void LimitLedgers::unmarkIfIdle(const AccountLedger& ledger, const ClientAccountId& account)
{
    if (!ledger.waiters.empty() || !ledger.blocks.empty() || !ledger.closedBlocks.empty() || ledger.drawInFlight)
        return;
    const std::lock_guard lock(m_mutex);
    m_busy.erase(account);
    m_busyCount = m_busy.size();
}

std::vector<ClientAccountId> LimitLedgers::busyAccounts() const
{
    const std::lock_guard lock(m_mutex);
    return { m_busy.begin(), m_busy.end() };
}

HostId LimitLedgers::poolerOf(const ClientAccountId& account) const
{
    const std::lock_guard lock(m_mutex);
    return internal::choosePooler(m_poolers, account);
}

// After a change of pooler the slices stay with the previous one until its loans expire. That is the pooler that granted
// the last block; a host that never drew chooses among the poolers before the last change.
HostId LimitLedgers::fallbackFor(const AccountLedger& ledger, const ClientAccountId& account) const
{
    if (ledger.lastGrantingPooler)
        return *ledger.lastGrantingPooler;
    const std::lock_guard lock(m_mutex);
    return internal::choosePooler(m_previousPoolers, account);
}

bool LimitLedgers::isPoolerOf(const ClientAccountId& account) const { return poolerOf(account) == m_self; }

std::optional<ResultCode> LimitLedgers::admitOrQueue(const ClientAccountId& account, MonotonicTime deadline, const Admission::Callback& callback)
{
    Shard& shard = shardOf(account);
    const std::lock_guard lock(shard.mutex);
    // The clock is read under the lock, so that a host that was paused before it sees that its lease and blocks have
    // expired.
    const MonotonicTime now = m_clock.now();
    AccountLedger* ledger = findLedger(shard, account, now);
    if (!ledger)
        return ResultCode::RateExceeded;
    recordDemand(ledger->demand, now);
    if (ledger->waiters.empty() && tryConsumeToken(*ledger, now))
        return ResultCode::Ok;
    const MonotonicTime expiresAt = std::min(deadline - internal::refusalMargin, now + m_settings.admissionWait);
    const bool mayWait = m_settings.sharing == LimitSharing::Pooled && now < expiresAt && ledger->waiters.size() < internal::maxWaiters;
    if (!mayWait)
        return ResultCode::RateExceeded;
    ledger->waiters.push_back({ expiresAt, callback });
    markBusy(account);
    return std::nullopt;
}

void LimitLedgers::admit(const ClientAccountId& account, MonotonicTime deadline, const Admission::Callback& callback)
{
    if (const auto code = admitOrQueue(account, deadline, callback))
        callback(*code);
    else
        m_wake();
}

std::vector<LoanOffer> LimitLedgers::lendTo(const IncarnationId& borrower, std::span<const ClientAccountId> accounts)
{
    std::vector<LoanOffer> offers;
    for (const ClientAccountId& account : accounts) {
        Shard& shard = shardOf(account);
        const std::lock_guard lock(shard.mutex);
        const MonotonicTime now = m_clock.now();
        AccountLedger* ledger = findLedger(shard, account, now);
        if (!ledger)
            continue;
        if (const auto loan = lend(ledger->localSlice, borrower, m_settings.loanTerm, now))
            offers.push_back({ account, *loan });
    }
    return offers;
}

// Block ids must differ between incarnations of a host: a later one must not accept a closed block of an earlier one.
LoanPool& LimitLedgers::poolOf(AccountLedger& ledger)
{
    if (!ledger.pool) {
        ledger.pool.emplace();
        ledger.pool->nextBlockId = stableHash(m_incarnation.value());
    }
    return *ledger.pool;
}

// The previous pooler's loans expire within one loan term, so eager borrowing ends after two.
bool LimitLedgers::borrowsEagerly(AccountLedger& ledger, bool granted, MonotonicTime now) const
{
    const MonotonicTime eagerUntil = ledger.pooledSince + 2 * m_settings.loanTerm;
    if (granted || now >= eagerUntil || now < ledger.nextEagerBorrowAt)
        return false;
    ledger.nextEagerBorrowAt = now + internal::eagerBorrowInterval;
    return true;
}

std::vector<BlockGrant> LimitLedgers::grantBlocks(std::span<const BlockRequest> blockRequests)
{
    std::vector<BlockGrant> grants;
    for (const BlockRequest& blockRequest : blockRequests) {
        Shard& shard = shardOf(blockRequest.account);
        const std::lock_guard lock(shard.mutex);
        const MonotonicTime now = m_clock.now();
        AccountLedger* ledger = findLedger(shard, blockRequest.account, now);
        if (!ledger)
            continue;
        LoanPool& pool = poolOf(*ledger);
        for (const ClosedBlock& closed : blockRequest.closed)
            closeBlock(pool, closed.id, closed.unspent, now);
        if (blockRequest.demand.waiting == 0)
            continue;
        if (!blockRequest.demand.fallback)
            ledger->lastDrawAt = now;
        const auto block = grantBlock(pool, blockRequest.demand, m_settings.blockTerm, now);
        if (block)
            grants.push_back({ blockRequest.account, block->id, block->tokens, std::chrono::duration_cast<std::chrono::milliseconds>(block->expiresAt - now) });
        if (blockRequest.demand.fallback)
            continue;
        const std::lock_guard pooledLock(m_mutex);
        const bool isNew = m_pooled.insert(blockRequest.account).second;
        if (isNew)
            ledger->pooledSince = now;
        m_hasNewPool = isNew || borrowsEagerly(*ledger, block.has_value(), now) || m_hasNewPool;
    }
    return grants;
}

std::vector<ClientAccountId> LimitLedgers::pooledAccounts(bool& hasNewPool)
{
    std::vector<ClientAccountId> accounts;
    {
        const std::lock_guard lock(m_mutex);
        accounts.assign(m_pooled.begin(), m_pooled.end());
        hasNewPool = std::exchange(m_hasNewPool, false);
    }
    std::erase_if(accounts, [this](const ClientAccountId& account) {
        // Another pooler cannot borrow the slices while this host keeps borrowing them, so a host that is not the chosen
        // pooler stops soon.
        const Duration idleTimeout = isPoolerOf(account) ? Duration(internal::poolIdleTimeout) : Duration(internal::foreignPoolIdleTimeout);
        Shard& shard = shardOf(account);
        const std::lock_guard lock(shard.mutex);
        if (m_clock.now() < shard.ledgers[account].lastDrawAt + idleTimeout)
            return false;
        const std::lock_guard pooledLock(m_mutex);
        m_pooled.erase(account);
        return true;
    });
    return accounts;
}

void LimitLedgers::applyLoans(const HostId& lender, std::span<const LoanOffer> offers, MonotonicTime requestedAt)
{
    for (const LoanOffer& offer : offers) {
        Shard& shard = shardOf(offer.account);
        const std::lock_guard lock(shard.mutex);
        const MonotonicTime now = m_clock.now();
        if (AccountLedger* ledger = findLedger(shard, offer.account, now))
            addLoan(poolOf(*ledger), { lender, offer.loan.slice, useDeadline(requestedAt, offer.loan.term) }, offer.loan.available, now);
    }
}

} // namespace lacewingsail
