#pragma once

#include <lacewingsail/World.h>

#include <cstddef>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace lacewingsail {

/// \returns the largest amount that every claim may get so that all together get \p room at most (max-min fairness): smaller
/// claims are met, larger ones get the level. Infinite if \p room meets all claims. Sorts \p claims.
double maxMinLevel(std::span<double> claims, double room);

/// \brief Shares of the client accounts in what one cell of a service has recently served.
///
/// Answers the load in which one account asks for several times its usual, or repeats its refused requests at once, while room
/// is short for all. Accounts get max-min shares of the recent placements, by their recent demand. In the first round an account
/// claims no more than a multiple of its usual demand, in the second round the rest is lent to those that ask for more. While
/// nothing is refused, every account's share is its demand.
///
/// Kept at the coordinator of the cell and fed by its demands and placements only. Bounded: beyond \ref maxAccounts the account
/// that has asked for nothing for the longest time is forgotten.
class AccountShares {
public:
    static constexpr std::size_t maxAccounts = 256;

    /// \brief A request of \p account asks for a server of the cell. A request that asks again while it waits counts once, one
    /// that its caller repeats counts again.
    void recordDemand(const ClientAccountId& account, MonotonicTime now);

    /// \brief A request of \p account got a server of the cell.
    void recordPlaced(const ClientAccountId& account, MonotonicTime now);

    /// \returns by what part of its share the recent placements of \p account exceed it; 0 if they are within it. Orders
    /// requests of one priority, and tells whose request to refuse first when room is short; never a reason to refuse while
    /// there is room.
    double excess(const ClientAccountId& account, MonotonicTime now);

    std::size_t accountCount() const { return m_accounts.size(); }

private:
    /// \brief Requests, weighted by their age.
    class DecayingCount {
    public:
        double at(MonotonicTime now) const;
        void add(MonotonicTime now);

    private:
        double m_count = 0;
        MonotonicTime m_asOf {};
    };

    struct Account {
        DecayingCount demand;
        DecayingCount placed;
        /// Demand in the long run, in units of \ref demand.
        double usual = 0;
        MonotonicTime firstDemandAt {};
        MonotonicTime usualAsOf {};
        std::list<ClientAccountId>::iterator byRecency;
    };

    static void learnUsual(Account&, MonotonicTime now);
    static double claimOf(const Account&, MonotonicTime now);
    void updateLevels(MonotonicTime now);
    void forget(const ClientAccountId&);

    std::unordered_map<ClientAccountId, Account> m_accounts;
    /// The account with the latest demand first.
    std::list<ClientAccountId> m_byRecency;
    /// What an account gets at most of its claim, and of its demand beyond that.
    double m_claimLevel = 0;
    double m_lentLevel = 0;
    MonotonicTime m_levelsAsOf {};
    std::vector<double> m_claims;
};

} // namespace lacewingsail
