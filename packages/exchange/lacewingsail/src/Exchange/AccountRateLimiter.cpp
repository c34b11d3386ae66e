#include <lacewingsail/Exchange.h>

#include <lacewingsail/Observe.h>

#include <algorithm>
#include <cmath>

namespace lacewingsail {

namespace internal {

    // Hosts that are asked for an account's tokens while they deny to be its coordinator.
    constexpr std::size_t maxCoordinatorsAsked = 2;
    // Time for which the tokens of one call last at the current demand; unused ones expire then. In it an account may exceed its
    // limit by what it earns meanwhile, which is half of the overshoot that the operators tolerate.
    constexpr std::chrono::milliseconds blockDuration { 250 };
    constexpr int maxBlockSize = 5;
    constexpr std::chrono::duration<double> demandTimeConstant { 1.0 };
    constexpr std::chrono::seconds grantLogInterval { 1 };

} // namespace internal

AccountRateLimiter::AccountRateLimiter(FleetDirectory& directory, ActiveConfiguration& active, const GatewayBounds& bounds, const Clock& clock, std::mt19937_64& random)
    : m_directory(directory)
    , m_active(active)
    , m_bounds(bounds)
    , m_clock(clock)
    , m_random(random)
{
}

double AccountRateLimiter::random()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

int AccountRateLimiter::blockSize(AccountState& state) const
{
    const MonotonicTime now = m_clock.now();
    const double decayFactor = std::exp(-(std::chrono::duration<double>(now - state.demandUpdatedAt) / internal::demandTimeConstant));
    state.demand = state.demand * decayFactor + 1 / internal::demandTimeConstant.count();
    state.demandUpdatedAt = now;
    const std::chrono::duration<double> blockSeconds = internal::blockDuration;
    return std::clamp(static_cast<int>(state.demand * blockSeconds.count()), 1, internal::maxBlockSize);
}

const ClientAccount* AccountRateLimiter::findLimited(const ClientAccountId& id) const
{
    const auto& configuration = m_active.current();
    if (!configuration)
        return nullptr;
    const auto found = configuration->accounts.find(id);
    return found == configuration->accounts.end() || found->second->rate.value == 0 ? nullptr : found->second;
}

TokenGrant AccountRateLimiter::grantUncoordinated(const ClientAccount& account)
{
    const AccountLimit limit = limitWithoutCoordinator(limitOf(account), m_bounds);
    if (limit.perSecond.value == 0)
        return {};
    const MonotonicTime now = m_clock.now();
    const TokenGrant result = grantTokens(m_accounts[account.id].uncoordinated, limit, m_directory.uncoordinatedAuthority(now), 1, random(), now);
    logUncoordinated(account.id, result);
    return result;
}

void AccountRateLimiter::logUncoordinated(const ClientAccountId& account, const TokenGrant& result)
{
    const MonotonicTime now = m_clock.now();
    AccountState& state = m_accounts[account];
    state.grantsToLog += result.granted;
    if (state.grantsToLog == 0 || now - state.grantsLoggedAt < internal::grantLogInterval)
        return;
    log(Event("account-tokens-granted").with("account", account).with("coordinator", "none").with("tokens", state.grantsToLog));
    state.grantsToLog = 0;
    state.grantsLoggedAt = now;
}

std::optional<TokenGrant> AccountRateLimiter::grant(const TokenDemand& demand)
{
    const ClientAccount* account = findLimited(demand.account);
    if (!account || demand.wanted <= 0)
        return std::nullopt;
    const MonotonicTime now = m_clock.now();
    const GrantAuthority authority = m_directory.coordinatorAuthority(demand.account, now);
    if (authority.share > 0)
        return grantTokens(m_accounts[demand.account].coordinated, limitOf(*account), authority, demand.wanted, random(), now);
    const auto candidates = m_directory.coordinatorCandidates(now);
    const auto ranked = rankHosts(candidates, demand.account.value(), 1);
    if (m_probeCoordinator && !ranked.empty() && ranked.front()->id != m_directory.self().id)
        m_probeCoordinator(*ranked.front());
    return std::nullopt;
}

void AccountRateLimiter::finish(const ClientAccountId& account, TokenGrant result, const Callback& callback)
{
    if (result.granted > 0) {
        AccountState& state = m_accounts[account];
        const MonotonicTime now = m_clock.now();
        const int unused = now < state.prefetched.expiresAt ? state.prefetched.count : 0;
        state.prefetched = { unused + result.granted - 1, now + internal::blockDuration };
        result.granted = 1;
    }
    callback(result);
}

void AccountRateLimiter::requestTokens(const ClientAccountId& account, std::vector<LiveHost> coordinators, std::size_t rank, int wanted, Callback callback)
{
    if (rank >= coordinators.size()) {
        const ClientAccount* limited = findLimited(account);
        // A new configuration has removed the account or its rate in the meantime: the request passes.
        return callback(limited ? grantUncoordinated(*limited) : TokenGrant { 1, {} });
    }
    const LiveHost coordinator = coordinators[rank];
    if (coordinator.id == m_directory.self().id || !m_calls) {
        if (const auto ownGrant = grant({ account, wanted }))
            return finish(account, *ownGrant, callback);
        return requestTokens(account, std::move(coordinators), rank + 1, wanted, std::move(callback));
    }
    m_calls->requestTokens(coordinator.peerEndpoint, { account, wanted }, [this, account, coordinators = std::move(coordinators), coordinator, rank, wanted, callback = std::move(callback)](const HostCalls::TokenCallResult& result) mutable {
        if (result.grant)
            return finish(account, *result.grant, callback);
        log(Event("account-coordinator-unavailable").with("account", account).with("host", coordinator.id).with("rank", static_cast<long long>(rank)).with("reason", result.answered ? "not-coordinator" : "no-answer"));
        if (result.answered)
            return requestTokens(account, std::move(coordinators), rank + 1, wanted, std::move(callback));
        // The next host grants nothing either while this one may still be the coordinator.
        m_directory.recordCallFailure(coordinator.id, m_clock.now());
        const std::size_t afterLast = coordinators.size();
        requestTokens(account, std::move(coordinators), afterLast, wanted, std::move(callback));
    });
}

void AccountRateLimiter::acquire(const ClientAccount& account, Callback callback)
{
    AccountState& state = m_accounts[account.id];
    const int count = blockSize(state);
    if (lacewingsail::tryConsume(state.prefetched, m_clock.now()))
        return callback({ 1, {} });
    std::vector<LiveHost> coordinators;
    const MonotonicTime now = m_clock.now();
    const auto candidates = m_directory.coordinatorCandidates(now);
    for (const LiveHost* host : rankHosts(candidates, account.id.value(), internal::maxCoordinatorsAsked)) {
        if (m_directory.isAvoided(host->id, now))
            break;
        coordinators.push_back(*host);
    }
    requestTokens(account.id, std::move(coordinators), 0, count, std::move(callback));
}

} // namespace lacewingsail
