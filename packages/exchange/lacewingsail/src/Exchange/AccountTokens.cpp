#include <lacewingsail/Exchange.h>

#include <algorithm>
#include <cmath>

namespace lacewingsail {

namespace internal {

    // Hosts that are asked for an account's tokens before this one falls back on a small part of its own.
    constexpr std::size_t keepersAsked = 2;
    // Time at the current demand that drawn tokens should last, and for which they are good.
    constexpr std::chrono::duration<double> blockTime { 0.4 };
    constexpr std::chrono::milliseconds blockTerm { 800 };
    constexpr int largestBlock = 5;
    constexpr std::chrono::duration<double> demandMemory { 1.0 };

} // namespace internal

AccountTokens::AccountTokens(FleetDirectory& directory, ActiveConfiguration& active, const Clock& clock)
    : m_directory(directory)
    , m_active(active)
    , m_clock(clock)
{
}

int AccountTokens::wanted(Local& local) const
{
    const MonotonicTime now = m_clock.now();
    const double gone = std::exp(-(std::chrono::duration<double>(now - local.demandAt) / internal::demandMemory));
    local.demand = local.demand * gone + 1 / internal::demandMemory.count();
    local.demandAt = now;
    return std::clamp(static_cast<int>(local.demand * internal::blockTime.count()), 1, internal::largestBlock);
}

TokenGrant AccountTokens::drawHere(const ClientAccount& account, int wanted, CoordinatorRank rank)
{
    return grantTokens(m_accounts[account.id].pool, account.rate, account.burst, wanted, rank, m_clock.now());
}

std::optional<TokenGrant> AccountTokens::give(const TokenDemand& demand)
{
    const auto& inForce = m_active.inForce();
    if (!inForce || demand.wanted <= 0)
        return std::nullopt;
    const auto found = inForce->accounts.find(demand.account);
    if (found == inForce->accounts.end() || found->second->rate.value == 0)
        return std::nullopt;
    const auto live = m_directory.live(m_clock.now());
    const auto ranked = rankHosts(live, demand.account.value(), internal::keepersAsked);
    std::size_t rank = 0;
    while (rank < ranked.size() && ranked[rank]->id != m_directory.self().id)
        ++rank;
    if (rank > 0 && m_verify)
        m_verify(*ranked.front());
    return drawHere(*found->second, demand.wanted, CoordinatorRank { rank });
}

void AccountTokens::finish(const ClientAccountId& account, TokenGrant result, const Answer& answer)
{
    if (result.granted > 0) {
        Local& local = m_accounts[account];
        const MonotonicTime now = m_clock.now();
        const int kept = now < local.drawn.expiresAt ? local.drawn.count : 0;
        local.drawn = { kept + result.granted - 1, now + internal::blockTerm };
        result.granted = 1;
    }
    answer(result);
}

void AccountTokens::ask(const ClientAccountId& account, std::vector<LiveHost> keepers, std::size_t rank, int wanted, Answer answer)
{
    if (rank >= keepers.size() || !m_calls) {
        const auto found = m_active.inForce()->accounts.find(account);
        // An account that a new configuration has dropped meanwhile.
        if (found == m_active.inForce()->accounts.end() || found->second->rate.value == 0)
            return answer({ 1, {} });
        return finish(account, drawHere(*found->second, 1, CoordinatorRank { m_calls ? internal::keepersAsked : 0 }), answer);
    }
    if (keepers[rank].id == m_directory.self().id) {
        if (const auto given = give({ account, wanted }))
            return finish(account, *given, answer);
        const std::size_t none = keepers.size();
        return ask(account, std::move(keepers), none, wanted, std::move(answer));
    }
    const LiveHost keeper = keepers[rank];
    m_calls->takeTokens(keeper.peerEndpoint, { account, wanted }, [this, account, keepers = std::move(keepers), keeper, rank, wanted, answer = std::move(answer)](std::optional<TokenGrant> result) mutable {
        if (result)
            return finish(account, *result, answer);
        m_directory.failed(keeper.id, m_clock.now());
        ask(account, std::move(keepers), rank + 1, wanted, std::move(answer));
    });
}

void AccountTokens::take(const ClientAccount& account, Answer answer)
{
    Local& local = m_accounts[account.id];
    const int count = wanted(local);
    if (lacewingsail::tryConsume(local.drawn, m_clock.now()))
        return answer({ 1, {} });
    std::vector<LiveHost> keepers;
    const auto live = m_directory.live(m_clock.now());
    for (const LiveHost* host : rankHosts(live, account.id.value(), internal::keepersAsked))
        keepers.push_back(*host);
    ask(account.id, std::move(keepers), 0, count, std::move(answer));
}

} // namespace lacewingsail
