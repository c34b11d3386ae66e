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
class AccountTokens {
public:
    using Answer = std::function<void(TokenGrant)>;

    AccountTokens(FleetDirectory&, ActiveConfiguration&, const Clock&);

    /// \brief Sets the calls to other hosts; without them every account is kept here.
    void connect(GatewayCalls& calls) { m_calls = &calls; }

    /// \brief Sets how to find out whether a host still lives that another one has passed over as keeper.
    void verifyKeepersBy(std::function<void(const LiveHost&)> verify) { m_verify = std::move(verify); }

    /// \brief Takes one token of \p account, which has a rate.
    /// \param answer called once, at once or later: granted 1, or when to come back.
    void take(const ClientAccount& account, Answer answer);

    /// \brief Answers another host's demand. \returns nothing if the account is not known.
    std::optional<TokenGrant> give(const TokenDemand&);

private:
    struct Local {
        AccountTokenBucket pool;
        PrefetchedTokens drawn;
        /// Requests a second, smoothed.
        double demand = 0;
        MonotonicTime demandAt {};
    };

    int wanted(Local&) const;
    TokenGrant drawHere(const ClientAccount&, int wanted, CoordinatorRank);
    void ask(const ClientAccountId&, std::vector<LiveHost> keepers, std::size_t rank, int wanted, Answer);
    void finish(const ClientAccountId&, TokenGrant, const Answer&);

    FleetDirectory& m_directory;
    ActiveConfiguration& m_active;
    const Clock& m_clock;
    GatewayCalls* m_calls = nullptr;
    std::function<void(const LiveHost&)> m_verify;
    std::map<ClientAccountId, Local> m_accounts;
};

} // namespace lacewingsail
