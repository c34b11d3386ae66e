#pragma once

#include "TextHash.h"

#include <lacewingsail/World.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief Index of a client account in Configuration::accounts.
enum class AccountIndex : std::size_t {};

/// \brief Keys of all client accounts, indexed by digest. Built once per configuration.
struct KeyTable {
    struct Entry {
        KeyId id;
        AccountIndex account {};
    };
    TextMap<Entry> byDigest;
};

/// \brief Ids of withdrawn keys. The set only grows, so that withdrawals can be merged in any order.
using WithdrawnKeys = std::set<KeyId>;

/// \brief Client account that sent a request, or why it could not be identified.
struct Identification {
    ResultCode code = ResultCode::KeyMissing;
    /// Meaningful only if the code is ResultCode::Ok.
    AccountIndex account {};
};

/// \brief Deadline up to which the set of withdrawn keys is considered fresh. Extended by every update, and checked by
/// every request, so that a host whose process was paused rejects requests until it has received updates again.
class KeyFreshness {
public:
    /// \brief Extends the deadline; one earlier than the current deadline is ignored.
    void extendUntil(MonotonicTime deadline);
    bool isStale(MonotonicTime now) const { return now >= m_freshUntil.load(std::memory_order_acquire); }

private:
    std::atomic<MonotonicTime> m_freshUntil { MonotonicTime {} };
};

/// \returns the latest instant as of which this host knows every withdrawal that the log, or more than half of the
/// listed hosts, knew by then.
/// \param logAsOf instant as of which this host has read the whole stream of withdrawals.
/// \param peersAsOf for each other listed host, the instant as of which this host knows all that it knew.
/// \param listedHosts number of listed hosts including this one; 0 if the list is unknown.
MonotonicTime withdrawalsKnownAsOf(MonotonicTime now, MonotonicTime logAsOf, std::vector<MonotonicTime> peersAsOf, std::size_t listedHosts);

/// \returns a digest of the set: equal for equal sets, and almost never equal for different ones.
std::uint64_t withdrawnKeysDigest(const WithdrawnKeys&);

/// \brief Indexes the keys of \p accounts. Allocates memory.
KeyTable makeKeyTable(const std::vector<ClientAccount>& accounts);

/// \brief Finds the client account of a key by the digest of its secret; an empty digest means that the request has no
/// key. Does not allocate.
Identification identify(const KeyTable&, const WithdrawnKeys&, std::string_view digest);

} // namespace lacewingsail
