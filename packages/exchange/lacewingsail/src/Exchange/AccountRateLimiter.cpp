#include <lacewingsail/Exchange.h>

#include <algorithm>
#include <cmath>

namespace lacewingsail {

namespace internal {

    // Hosts that are asked for an account's tokens before this one falls back on a small part of its own.
    constexpr std::size_t maxCoordinatorsAsked = 2;
    // Time at the current demand that drawn tokens should last, and for which they are good.
    constexpr std::chrono::duration<double> blockDuration { 0.4 };
    constexpr std::chrono::milliseconds blockLifetime { 800 };
    constexpr int maxBlockSize = 5;
    constexpr std::chrono::duration<double> demandTimeConstant { 1.0 };

} // namespace internal

AccountRateLimiter::AccountRateLimiter(FleetDirectory& directory, ActiveConfiguration& active, const Clock& clock)
    : m_directory(directory)
    , m_active(active)
    , m_clock(clock)
{
}

int AccountRateLimiter::blockSize(AccountState& local) const
{
    const MonotonicTime now = m_clock.now();
    const double gone = std::exp(-(std::chrono::duration<double>(now - local.demandAt) / internal::demandTimeConstant));
    local.demand = local.demand * gone + 1 / internal::demandTimeConstant.count();
    local.demandAt = now;
    return std::clamp(static_cast<int>(local.demand * internal::blockDuration.count()), 1, internal::maxBlockSize);
}

TokenGrant AccountRateLimiter::grantLocally(const ClientAccount& account, int wanted, CoordinatorRank rank)
{
    return grantTokens(m_accounts[account.id].pool, account.rate, account.burst, wanted, rank, m_clock.now());
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

void AccountRateLimiter::finish(const ClientAccountId& account, TokenGrant result, const Callback& answer)
{
    if (result.granted > 0) {
        AccountState& local = m_accounts[account];
        const MonotonicTime now = m_clock.now();
        const int kept = now < local.drawn.expiresAt ? local.drawn.count : 0;
        local.drawn = { kept + result.granted - 1, now + internal::blockLifetime };
        result.granted = 1;
    }
    answer(result);
}

void AccountRateLimiter::requestTokens(const ClientAccountId& account, std::vector<LiveHost> coordinators, std::size_t rank, int wanted, Callback answer)
{
    if (rank >= coordinators.size() || !m_calls) {
        const auto found = m_active.current()->accounts.find(account);
        // An account that a new configuration has dropped meanwhile.
        if (found == m_active.current()->accounts.end() || found->second->rate.value == 0)
            return answer({ 1, {} });
        return finish(account, grantLocally(*found->second, 1, CoordinatorRank { m_calls ? internal::maxCoordinatorsAsked : 0 }), answer);
    }
    if (coordinators[rank].id == m_directory.self().id) {
        if (const auto given = grant({ account, wanted }))
            return finish(account, *given, answer);
        const std::size_t none = coordinators.size();
        return requestTokens(account, std::move(coordinators), none, wanted, std::move(answer));
    }
    const LiveHost coordinator = coordinators[rank];
    m_calls->requestTokens(coordinator.peerEndpoint, { account, wanted }, [this, account, coordinators = std::move(coordinators), coordinator, rank, wanted, answer = std::move(answer)](std::optional<TokenGrant> result) mutable {
        if (result)
            return finish(account, *result, answer);
        m_directory.recordCallFailure(coordinator.id, m_clock.now());
        requestTokens(account, std::move(coordinators), rank + 1, wanted, std::move(answer));
    });
}

void AccountRateLimiter::acquire(const ClientAccount& account, Callback answer)
{
    AccountState& local = m_accounts[account.id];
    const int count = blockSize(local);
    if (lacewingsail::tryConsume(local.drawn, m_clock.now()))
        return answer({ 1, {} });
    std::vector<LiveHost> coordinators;
    const auto live = m_directory.liveHosts(m_clock.now());
    for (const LiveHost* host : rankHosts(live, account.id.value(), internal::maxCoordinatorsAsked))
        coordinators.push_back(*host);
    requestTokens(account.id, std::move(coordinators), 0, count, std::move(answer));
}

} // namespace lacewingsail
