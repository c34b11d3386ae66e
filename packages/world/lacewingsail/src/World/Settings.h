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

/// \brief How client accounts' limits are shared among the hosts.
enum class LimitSharing {
    /// Slots, whose slices are lent to one pooler an account.
    Pooled,
    /// Slots, each host with what it holds itself.
    Slots,
    /// Every host has the same fixed share; for comparison.
    EvenSplit,
    /// Every host gives the whole limit by itself; for comparison.
    Unshared,
};

/// \brief Terms under which hosts hold and lend parts of client accounts' limits.
struct SharingSettings {
    LimitSharing sharing = LimitSharing::Pooled;
    /// How long a slot stays with a holder that no longer renews it.
    std::chrono::milliseconds slotLease { 14'400'000 };
    /// How long a slice stays with a pooler that no longer asks for it.
    std::chrono::milliseconds loanTerm { 2000 };
    /// How long tokens drawn from a pooler are good.
    std::chrono::milliseconds blockTerm { 600 };
    /// How long a request waits for a token at most.
    std::chrono::milliseconds admissionWait { 250 };
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
    SharingSettings sharing;
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
