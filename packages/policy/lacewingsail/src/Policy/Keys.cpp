#include <lacewingsail/Policy.h>

namespace lacewingsail {

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
