#include <lacewingsail/Exchange.h>

#include <lacewingsail/Observe.h>

#include <algorithm>
#include <cmath>

namespace lacewingsail {

namespace internal {

    // Hosts that are asked for an account's tokens before this host grants a small part of the rate by itself.
    constexpr std::size_t maxCoordinatorsAsked = 2;
    // Time for which the tokens of one call last at the current demand, and time after which unused ones expire.
    constexpr std::chrono::duration<double> blockDuration { 0.4 };
    constexpr std::chrono::milliseconds blockLifetime { 800 };
    constexpr int maxBlockSize = 5;
    constexpr std::chrono::duration<double> demandTimeConstant { 1.0 };
    constexpr std::chrono::seconds grantLogInterval { 1 };

} // namespace internal

AccountRateLimiter::AccountRateLimiter(FleetDirectory& directory, ActiveConfiguration& active, const Clock& clock)
    : m_directory(directory)
    , m_active(active)
    , m_clock(clock)
{
}

int AccountRateLimiter::blockSize(AccountState& state) const
{
    const MonotonicTime now = m_clock.now();
    const double decayFactor = std::exp(-(std::chrono::duration<double>(now - state.demandUpdatedAt) / internal::demandTimeConstant));
    state.demand = state.demand * decayFactor + 1 / internal::demandTimeConstant.count();
    state.demandUpdatedAt = now;
    return std::clamp(static_cast<int>(state.demand * internal::blockDuration.count()), 1, internal::maxBlockSize);
}

TokenGrant AccountRateLimiter::grantLocally(const ClientAccount& account, int wanted, CoordinatorRank rank)
{
    const TokenGrant result = grantTokens(m_accounts[account.id].bucket, account.rate, account.burst, wanted, rank, m_clock.now());
    logGrant(account.id, result, rank);
    return result;
}

// Grants of the coordinator are the normal case and leave no line.
void AccountRateLimiter::logGrant(const ClientAccountId& account, const TokenGrant& result, CoordinatorRank rank)
{
    if (result.granted == 0 || rank == CoordinatorRank { 0 })
        return;
    const MonotonicTime now = m_clock.now();
    AccountState& state = m_accounts[account];
    state.grantsToLog += result.granted;
    if (now - state.grantsLoggedAt < internal::grantLogInterval)
        return;
    log(Event("account-tokens-granted").with("account", account).with("rank", static_cast<long long>(rank)).with("tokens", state.grantsToLog));
    state.grantsToLog = 0;
    state.grantsLoggedAt = now;
}

std::optional<TokenGrant> AccountRateLimiter::grant(const TokenDemand& demand)
{
    const auto& configuration = m_active.current();
    if (!configuration || demand.wanted <= 0)
        return std::nullopt;
    const auto found = configuration->accounts.find(demand.account);
    if (found == configuration->accounts.end() || found->second->rate.value == 0)
        return std::nullopt;
    const auto live = m_directory.liveHosts(m_clock.now());
    const auto ranked = rankHosts(live, demand.account.value(), internal::maxCoordinatorsAsked);
    std::size_t rank = 0;
    while (rank < ranked.size() && ranked[rank]->id != m_directory.self().id)
        ++rank;
    if (rank > 0 && m_probeCoordinator)
        m_probeCoordinator(*ranked.front());
    return grantLocally(*found->second, demand.wanted, CoordinatorRank { rank });
}

void AccountRateLimiter::finish(const ClientAccountId& account, TokenGrant result, const Callback& callback)
{
    if (result.granted > 0) {
        AccountState& state = m_accounts[account];
        const MonotonicTime now = m_clock.now();
        const int unused = now < state.prefetched.expiresAt ? state.prefetched.count : 0;
        state.prefetched = { unused + result.granted - 1, now + internal::blockLifetime };
        result.granted = 1;
    }
    callback(result);
}

void AccountRateLimiter::requestTokens(const ClientAccountId& account, std::vector<LiveHost> coordinators, std::size_t rank, int wanted, Callback callback)
{
    if (rank >= coordinators.size() || !m_calls) {
        const auto found = m_active.current()->accounts.find(account);
        // A new configuration has removed the account or its rate in the meantime: the request passes.
        if (found == m_active.current()->accounts.end() || found->second->rate.value == 0)
            return callback({ 1, {} });
        return finish(account, grantLocally(*found->second, 1, CoordinatorRank { m_calls ? internal::maxCoordinatorsAsked : 0 }), callback);
    }
    if (coordinators[rank].id == m_directory.self().id) {
        if (const auto ownGrant = grant({ account, wanted }))
            return finish(account, *ownGrant, callback);
        const std::size_t afterLast = coordinators.size();
        return requestTokens(account, std::move(coordinators), afterLast, wanted, std::move(callback));
    }
    const LiveHost coordinator = coordinators[rank];
    m_calls->requestTokens(coordinator.peerEndpoint, { account, wanted }, [this, account, coordinators = std::move(coordinators), coordinator, rank, wanted, callback = std::move(callback)](std::optional<TokenGrant> result) mutable {
        if (result)
            return finish(account, *result, callback);
        log(Event("account-coordinator-timeout").with("account", account).with("host", coordinator.id).with("rank", static_cast<long long>(rank)));
        m_directory.recordCallFailure(coordinator.id, m_clock.now());
        requestTokens(account, std::move(coordinators), rank + 1, wanted, std::move(callback));
    });
}

void AccountRateLimiter::acquire(const ClientAccount& account, Callback callback)
{
    AccountState& state = m_accounts[account.id];
    const int count = blockSize(state);
    if (lacewingsail::tryConsume(state.prefetched, m_clock.now()))
        return callback({ 1, {} });
    std::vector<LiveHost> coordinators;
    const auto live = m_directory.liveHosts(m_clock.now());
    for (const LiveHost* host : rankHosts(live, account.id.value(), internal::maxCoordinatorsAsked))
        coordinators.push_back(*host);
    requestTokens(account.id, std::move(coordinators), 0, count, std::move(callback));
}

} // namespace lacewingsail
