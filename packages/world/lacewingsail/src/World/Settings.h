#pragma once

#include "Machines.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace lacewingsail {

/// \brief Limits on what one caller's connection may use.
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    std::chrono::milliseconds requestTimeout { 10'000 };
    std::chrono::milliseconds idleTimeout { 60'000 };
};

/// \brief How idempotency keys of bookings are kept.
struct BookingLimits {
    /// How long a key is remembered after its claim; the log service must keep records at least as long.
    std::chrono::milliseconds retention { std::chrono::hours(24) };
    /// Memory for remembered keys; at this bound the host refuses new ones.
    std::size_t tableBytes = 32 * 1024 * 1024;
    /// Least time between two appends of one host to one stream of bookings.
    std::chrono::milliseconds appendInterval { 100 };
};

/// \brief How backend servers are chosen and ejected. The others serve as baselines in experiments.
enum class DispatchStrategy {
    /// Evidence of all hosts, the floor, choice by load and latency, stalls broken off.
    Evidence,
    /// Each server in turn; nothing is ejected.
    RoundRobin,
    /// Each server in turn; a host alone ejects a server after several failures in a row, for a fixed time.
    ConsecutiveErrors,
};

/// \brief What a process of the fleet learns from its settings file.
struct HostSettings {
    HostId id;
    ZoneId zone;
    Endpoint callers;
    Endpoint operators;
    Endpoint peers;
    /// The platform's log service.
    Endpoint log;
    /// The platform's list of hosts.
    Endpoint hostList;
    /// Threads that carry requests.
    int threads = 2;
    /// Parts into which every account's rate and burst are divided; at least the number of hosts.
    int limitSlots = 64;
    /// Shared secret of operators and hosts; never printed.
    std::string fleetSecret;
    CallerLimits limits;
    /// A host that hears neither the log nor half of the listed hosts for this long refuses keyed requests.
    std::chrono::milliseconds keyStalenessBound { 5000 };
    /// How long the platform's log keeps a record.
    std::chrono::milliseconds logRetention { 24 * 3'600'000 };
    BookingLimits bookings;
    DispatchStrategy strategy = DispatchStrategy::Evidence;
};

} // namespace lacewingsail
