#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace lacewingsail {

namespace {

    // Long enough for some requests of a small account, short against a surge of load.
    constexpr std::chrono::seconds countedTime { 2 };
    // Time over which the usual demand is averaged: a surge of some seconds hardly changes it.
    constexpr std::chrono::seconds usualTime { 60 };
    // Demand of an account that has not been known for longer tells nothing of its usual one.
    constexpr std::chrono::seconds learningTime { 10 };
    // Multiple of its usual demand that an account claims before others are lent anything.
    constexpr double claimPerUsual = 1.5;
    // Standard deviations by which the demand of a small account varies by chance.
    constexpr double chanceDeviations = 2;
    // An account with no more recent placements is within its share: fractions of a request cannot be placed.
    constexpr double minShare = 1;
    // Demand that is unmet to this part shows no shortage: some requests are always just being placed.
    constexpr double toleratedShortage = 0.05;
    constexpr std::chrono::milliseconds levelInterval { 200 };
    // Accounts without demand for this long are forgotten.
    constexpr std::chrono::minutes retention { 5 };

    double largestClaim(double usual)
    {
        const double known = std::max(usual, minShare);
        return std::max(claimPerUsual * known, known + chanceDeviations * std::sqrt(known));
    }

    double elapsedOver(Duration elapsed, Duration unit) { return std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(unit); }

} // namespace

double maxMinLevel(std::span<double> claims, double room)
{
    std::ranges::sort(claims);
    double left = room;
    for (std::size_t position = 0; position < claims.size(); ++position) {
        const double level = left / static_cast<double>(claims.size() - position);
        if (claims[position] > level)
            return level;
        left -= claims[position];
    }
    return std::numeric_limits<double>::infinity();
}

double AccountShares::DecayingCount::at(MonotonicTime now) const
{
    return m_count * std::exp(-elapsedOver(std::max(now - m_asOf, Duration(0)), countedTime));
}

void AccountShares::DecayingCount::add(MonotonicTime now)
{
    m_count = at(now) + 1;
    m_asOf = now;
}

// Until its usual demand is known, an account's demand counts in full: after a takeover no account is known.
void AccountShares::learnUsual(Account& account, MonotonicTime now)
{
    const double demand = account.demand.at(now);
    const Duration knownFor = now - account.firstDemandAt;
    const Duration averagedTime = std::clamp<Duration>(knownFor, countedTime, usualTime);
    const double weight = 1 - std::exp(-elapsedOver(now - account.usualAsOf, averagedTime));
    const double learned = knownFor < learningTime ? demand : std::min(demand, largestClaim(account.usual));
    account.usual += weight * (learned - account.usual);
    account.usualAsOf = now;
}

double AccountShares::claimOf(const Account& account, MonotonicTime now)
{
    const double demand = account.demand.at(now);
    if (now - account.firstDemandAt < learningTime)
        return demand;
    return std::min(demand, largestClaim(account.usual));
}

void AccountShares::forget(const ClientAccountId& id)
{
    const auto found = m_accounts.find(id);
    m_byRecency.erase(found->second.byRecency);
    m_accounts.erase(found);
}

void AccountShares::recordDemand(const ClientAccountId& id, MonotonicTime now)
{
    auto found = m_accounts.find(id);
    if (found == m_accounts.end()) {
        if (m_accounts.size() == maxAccounts)
            forget(ClientAccountId(m_byRecency.back()));
        m_byRecency.push_front(id);
        found = m_accounts.try_emplace(id).first;
        found->second.byRecency = m_byRecency.begin();
        found->second.firstDemandAt = now;
        found->second.usualAsOf = now;
    }
    Account& account = found->second;
    m_byRecency.splice(m_byRecency.begin(), m_byRecency, account.byRecency);
    learnUsual(account, now);
    account.demand.add(now);
}

void AccountShares::recordPlaced(const ClientAccountId& id, MonotonicTime now)
{
    const auto found = m_accounts.find(id);
    if (found != m_accounts.end())
        found->second.placed.add(now);
}

void AccountShares::updateLevels(MonotonicTime now)
{
    m_levelsAsOf = now;
    while (!m_byRecency.empty() && now - m_accounts.at(m_byRecency.back()).usualAsOf >= retention)
        forget(ClientAccountId(m_byRecency.back()));
    m_claims.clear();
    double room = 0;
    double claimed = 0;
    for (const auto& [id, account] : m_accounts) {
        room += account.placed.at(now) / (1 - toleratedShortage);
        m_claims.push_back(claimOf(account, now));
        claimed += m_claims.back();
    }
    m_claimLevel = maxMinLevel(m_claims, room);
    m_lentLevel = 0;
    if (room <= claimed)
        return;
    m_claims.clear();
    for (const auto& [id, account] : m_accounts)
        m_claims.push_back(account.demand.at(now) - claimOf(account, now));
    m_lentLevel = maxMinLevel(m_claims, room - claimed);
}

double AccountShares::excess(const ClientAccountId& id, MonotonicTime now)
{
    if (now - m_levelsAsOf >= levelInterval)
        updateLevels(now);
    const auto found = m_accounts.find(id);
    if (found == m_accounts.end())
        return 0;
    const Account& account = found->second;
    const double claim = claimOf(account, now);
    const double lent = std::min(account.demand.at(now) - claim, m_lentLevel);
    const double share = std::max(std::min(claim, m_claimLevel) + lent, minShare);
    return std::max(0.0, account.placed.at(now) / share - 1);
}

} // namespace lacewingsail
