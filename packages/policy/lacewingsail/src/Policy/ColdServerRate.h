#pragma once

#include "AccountTokenBucket.h"

#include <lacewingsail/World.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

namespace lacewingsail {

/// \returns the most requests that all hosts together may send to a cold server in any one second; nothing if the service states no
/// rate for its cold servers.
std::optional<int> coldServerBound(RequestsPerSecond coldRate, const GatewayBounds&);

/// \brief Who may send requests to a cold server. Each role has a part of the bound; a part is never lent to another role.
enum class ColdServerSender : unsigned char {
    FirstCoordinator,
    /// Is asked while hosts do not reach the first one.
    SecondCoordinator,
    /// A host that reaches neither.
    Uncoordinated,
};

/// \brief What one sender may place on each cold server of a service.
struct ColdServerPart {
    /// In any period of \ref coldServerWindow. Below 1 it is the probability of one request in a period.
    double requests = 0;
    /// What was placed before then was placed by another host.
    MonotonicTime since {};
};

/// Requests placed within this time may arrive within one second, as hosts and links delay some of them.
constexpr std::chrono::milliseconds coldServerWindow { 1500 };

/// \returns the part of \p bound that one host may place in its role.
ColdServerPart coldServerPart(int bound, ColdServerSender, const GrantAuthority&);

/// \brief Number of requests that one sender has placed on a server in each tenth of a second of the last \ref coldServerWindow.
struct RecentlyPlaced {
    static constexpr std::size_t periods = 16;
    std::array<std::uint16_t, periods> counts {};
    /// Number of the period that was last counted.
    std::int64_t period = 0;
};

void countPlacement(RecentlyPlaced&, MonotonicTime now);

/// \brief Decides whether one more request may be placed on a cold server.
///
/// All servers of a zone may turn cold at once under full demand, and crash well above the bound: it holds over all hosts, whether or
/// not they hear of each other. Allocates nothing.
/// \param seed differs between servers and hosts; decides who of many hosts uses a part below one request.
bool mayPlaceOnColdServer(const RecentlyPlaced&, const ColdServerPart&, std::uint64_t seed, MonotonicTime now);

} // namespace lacewingsail
