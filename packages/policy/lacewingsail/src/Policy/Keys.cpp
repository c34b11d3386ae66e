#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

void KeyFreshness::extendUntil(MonotonicTime deadline)
{
    MonotonicTime current = m_freshUntil.load(std::memory_order_relaxed);
    while (current < deadline && !m_freshUntil.compare_exchange_weak(current, deadline, std::memory_order_release))
        ;
}

MonotonicTime withdrawalsKnownAsOf(MonotonicTime now, MonotonicTime logAsOf, std::vector<MonotonicTime> peersAsOf, std::size_t listedHosts)
{
    if (listedHosts == 0)
        return logAsOf;
    // Includes this host itself. The host has caught up with at least half of the hosts, so at least one of them knows a
    // withdrawal that more than half of the hosts know.
    const std::size_t needed = (listedHosts + 1) / 2 - 1;
    if (needed == 0)
        return now;
    if (peersAsOf.size() < needed)
        return logAsOf;
    const auto quorumAsOf = peersAsOf.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::ranges::nth_element(peersAsOf, quorumAsOf, std::greater {});
    return std::max(logAsOf, *quorumAsOf);
}

std::uint64_t withdrawnKeysDigest(const WithdrawnKeys& keys)
{
    std::uint64_t digest = 0;
    for (const KeyId& key : keys)
        digest ^= stableHash(key.value());
    return digest;
}

KeyTable makeKeyTable(const std::vector<ClientAccount>& accounts)
{
    KeyTable table;
    for (std::size_t index = 0; index < accounts.size(); ++index) {
        for (const Key& key : accounts[index].keys)
            table.byDigest.emplace(key.digest, KeyTable::Entry { key.id, AccountIndex { index } });
    }
    return table;
}

Identification identify(const KeyTable& table, const WithdrawnKeys& withdrawn, std::string_view digest)
{
    if (digest.empty())
        return { ResultCode::KeyMissing, {} };
    const auto found = table.byDigest.find(digest);
    if (found == table.byDigest.end())
        return { ResultCode::KeyUnknown, {} };
    if (withdrawn.contains(found->second.id))
        return { ResultCode::KeyWithdrawn, {} };
    return { ResultCode::Ok, found->second.account };
}

} // namespace lacewingsail
