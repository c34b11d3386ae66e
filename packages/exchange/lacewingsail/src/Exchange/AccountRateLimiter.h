#pragma once

#include "FleetDirectory.h"
#include "GatewayCalls.h"

#include <lacewingsail/Discovery.h>

#include <functional>
#include <map>

namespace lacewingsail {

/// \brief Enforces the rate and burst of client accounts across all hosts.
///
/// Rendezvous hashing over the live hosts selects a coordinator for each account, which holds the account's tokens. The
/// other hosts request tokens from it, or from the second-ranked host while it does not answer.
class AccountRateLimiter {
public:
    using Callback = std::function<void(TokenGrant)>;

    AccountRateLimiter(FleetDirectory&, ActiveConfiguration&, const Clock&);

    /// \brief Sets the calls to other hosts; without them this host holds the tokens of every account.
    void connect(GatewayCalls& calls) { m_calls = &calls; }

    /// \brief Sets the function that checks whether a coordinator is alive; called when another host asked this one instead.
    void setCoordinatorProbe(std::function<void(const LiveHost&)> probe) { m_probeCoordinator = std::move(probe); }

    /// \brief Takes one token of \p account, which must have a rate.
    /// \param callback called once, within the call or later, with one token or the time after which to retry.
    void acquire(const ClientAccount& account, Callback callback);

    /// \brief Grants tokens to another host. \returns nothing if the account is unknown or has no rate.
    std::optional<TokenGrant> grant(const TokenDemand&);

private:
    struct AccountState {
        AccountTokenBucket bucket;
        PrefetchedTokens prefetched;
        /// Requests per second, exponentially averaged.
        double demand = 0;
        MonotonicTime demandUpdatedAt {};
        /// Tokens granted since \ref grantsLoggedAt without being the account's coordinator.
        int grantsToLog = 0;
        MonotonicTime grantsLoggedAt {};
    };

    int blockSize(AccountState&) const;
    TokenGrant grantLocally(const ClientAccount&, int wanted, CoordinatorRank);
    void logGrant(const ClientAccountId&, const TokenGrant&, CoordinatorRank);
    void requestTokens(const ClientAccountId&, std::vector<LiveHost> coordinators, std::size_t rank, int wanted, Callback);
    void finish(const ClientAccountId&, TokenGrant, const Callback&);

    FleetDirectory& m_directory;
    ActiveConfiguration& m_active;
    const Clock& m_clock;
    GatewayCalls* m_calls = nullptr;
    std::function<void(const LiveHost&)> m_probeCoordinator;
    std::map<ClientAccountId, AccountState> m_accounts;
};

} // namespace lacewingsail
