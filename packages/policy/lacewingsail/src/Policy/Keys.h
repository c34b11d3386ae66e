#pragma once

#include "TextHash.h"

#include <lacewingsail/World.h>

#include <cstddef>
#include <memory>
#include <set>
#include <string_view>

namespace lacewingsail {

/// \brief Position of a client account in Configuration::accounts.
enum class AccountIndex : std::size_t {};

/// \brief Keys of all client accounts, indexed by digest. Built once for each configuration.
struct KeyTable {
    struct Entry {
        KeyId id;
        AccountIndex account {};
    };
    TextMap<Entry> byDigest;
};

/// \brief Ids of withdrawn keys. The set only grows, so that its union needs no order.
using WithdrawnKeys = std::set<KeyId>;

/// \brief Who sent a request, or why that cannot be said.
struct Identification {
    ResultCode code = ResultCode::KeyMissing;
    /// Meaningful only if the code is ResultCode::Ok.
    AccountIndex account {};
};

/// \brief Indexes the keys of \p accounts. Allocates.
KeyTable makeKeyTable(const std::vector<ClientAccount>& accounts);

/// \brief Finds the client account of a key by the digest of its secret; an empty digest stands for no key.
/// Allocates nothing.
Identification identify(const KeyTable&, const WithdrawnKeys&, std::string_view digest);

} // namespace lacewingsail
