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

/// \brief Until when the set of withdrawn keys may be trusted. Moved on by what is heard, and read by every request, so
/// that a host which was paused refuses before it has heard anything again.
class KeyFreshness {
public:
    /// \brief Moves the deadline on; an earlier one than the current is ignored.
    void extendUntil(MonotonicTime deadline);
    bool isStale(MonotonicTime now) const { return now >= m_freshUntil.load(std::memory_order_acquire); }

private:
    std::atomic<MonotonicTime> m_freshUntil { MonotonicTime {} };
};

/// \returns the latest instant as of which a host knows every withdrawal that the log, or more than half of the listed
/// hosts, knew by then.
/// \param logHeard as of when the host had read the whole stream of withdrawals.
/// \param peersHeard as of when it knew all that each other listed host knew.
/// \param listedHosts number of listed hosts, the own one included; 0 if the list is not known.
MonotonicTime withdrawalsKnownAsOf(MonotonicTime now, MonotonicTime logHeard, std::vector<MonotonicTime> peersHeard, std::size_t listedHosts);

/// \returns a number that is equal for equal sets, and for different ones almost never; it needs no order.
std::uint64_t withdrawnKeysDigest(const WithdrawnKeys&);

/// \brief Indexes the keys of \p accounts. Allocates.
KeyTable makeKeyTable(const std::vector<ClientAccount>& accounts);

/// \brief Finds the client account of a key by the digest of its secret; an empty digest stands for no key.
/// Allocates nothing.
Identification identify(const KeyTable&, const WithdrawnKeys&, std::string_view digest);

} // namespace lacewingsail
