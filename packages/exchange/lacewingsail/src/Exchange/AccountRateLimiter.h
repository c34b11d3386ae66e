#pragma once

#include "FleetDirectory.h"
#include "HostCalls.h"

#include <lacewingsail/Discovery.h>

#include <functional>
#include <map>
#include <random>

namespace lacewingsail {

/// \brief Enforces the rate and burst of client accounts across all hosts.
///
/// Rendezvous hashing over the live hosts selects a coordinator for each account, which grants the account's tokens. A host
/// that reaches no coordinator grants its share of what the operators tolerate beyond the limit, so that all hosts together
/// stay within that, however many they are.
class AccountRateLimiter {
public:
    using Callback = std::function<void(TokenGrant)>;

    AccountRateLimiter(FleetDirectory&, ActiveConfiguration&, const GatewayBounds&, const Clock&, std::mt19937_64& random);

    /// \brief Sets the calls to other hosts.
    void connect(HostCalls& calls) { m_calls = &calls; }

    /// \brief Sets the function that checks whether a coordinator is alive; called when another host asked this one instead.
    void setCoordinatorProbe(std::function<void(const LiveHost&)> probe) { m_probeCoordinator = std::move(probe); }

    /// \brief Takes one token of \p account, which must have a rate.
    /// \param callback called once, within the call or later, with one token or the time after which to retry.
    void acquire(const ClientAccount& account, Callback callback);

    /// \brief Grants tokens to another host. \returns nothing if the account is unknown, has no rate or has another coordinator.
    std::optional<TokenGrant> grant(const TokenDemand&);

private:
    struct AccountState {
        /// Tokens that this host grants as the coordinator.
        AccountTokenBucket coordinated;
        /// Tokens that this host grants while it reaches no coordinator.
        AccountTokenBucket uncoordinated;
        PrefetchedTokens prefetched;
        /// Requests per second, exponentially averaged.
        double demand = 0;
        MonotonicTime demandUpdatedAt {};
        /// Tokens granted without a coordinator since \ref grantsLoggedAt.
        int grantsToLog = 0;
        MonotonicTime grantsLoggedAt {};
    };

    int blockSize(AccountState&) const;
    const ClientAccount* findLimited(const ClientAccountId&) const;
    double random();
    TokenGrant grantUncoordinated(const ClientAccount&);
    void logUncoordinated(const ClientAccountId&, const TokenGrant&);
    void requestTokens(const ClientAccountId&, std::vector<LiveHost> coordinators, std::size_t rank, int wanted, Callback);
    void finish(const ClientAccountId&, TokenGrant, const Callback&);

    FleetDirectory& m_directory;
    ActiveConfiguration& m_active;
    const GatewayBounds& m_bounds;
    const Clock& m_clock;
    std::mt19937_64& m_random;
    HostCalls* m_calls = nullptr;
    std::function<void(const LiveHost&)> m_probeCoordinator;
    std::map<ClientAccountId, AccountState> m_accounts;
};

} // namespace lacewingsail
