#pragma once

#include "FleetDirectory.h"
#include "GatewayCalls.h"

#include <lacewingsail/Discovery.h>

#include <functional>
#include <map>

namespace lacewingsail {

/// \brief Holds client accounts to their rate and burst across all hosts.
///
/// For each account the fleet agrees on one host that keeps its tokens, by rendezvous hashing over the live hosts; the
/// others draw from it, and from the second in order while it does not answer.
class AccountRateLimiter {
public:
    using Callback = std::function<void(TokenGrant)>;

    AccountRateLimiter(FleetDirectory&, ActiveConfiguration&, const Clock&);

    /// \brief Sets the calls to other hosts; without them every account is kept here.
    void connect(GatewayCalls& calls) { m_calls = &calls; }

    /// \brief Sets how to find out whether a host still lives that another one has passed over as coordinator.
    void setCoordinatorProbe(std::function<void(const LiveHost&)> verify) { m_probeCoordinator = std::move(verify); }

    /// \brief Takes one token of \p account, which has a rate.
    /// \param answer called once, at once or later: granted 1, or when to come back.
    void acquire(const ClientAccount& account, Callback answer);

    /// \brief Answers another host's demand. \returns nothing if the account is not known.
    std::optional<TokenGrant> grant(const TokenDemand&);

private:
    struct AccountState {
        AccountTokenBucket pool;
        PrefetchedTokens drawn;
        /// Requests a second, smoothed.
        double demand = 0;
        MonotonicTime demandAt {};
    };

    int blockSize(AccountState&) const;
    TokenGrant grantLocally(const ClientAccount&, int wanted, CoordinatorRank);
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
