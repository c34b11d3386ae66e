#pragma once

#include <lacewingsail/World.h>

#include <chrono>

namespace lacewingsail {

/// \brief Decaying counts of requests that reached servers with free slots, by whether the servers refused them.
struct RefusalCounts {
    double refused = 0;
    double accepted = 0;
    /// Decay of the service's counts when these were updated, in time constants.
    double decay = 0;
};

/// \brief What a service's servers refuse although they have free slots.
///
/// For several seconds all servers of a service can turn away a part of the requests alike, whatever their load. Such a refusal
/// says nothing about the one server, which is judged by what it refuses in excess of the others.
/// Updated by outcomes only. The counts decay with the number of outcomes and with time, so that the share follows within some
/// tens of outcomes and is forgotten without any.
struct ServiceRefusals {
    RefusalCounts counts;
    MonotonicTime updatedAt {};
    /// As of the last refusal, see \ref refusesAlike.
    bool alike = false;
};

/// \brief Counts the outcome of a request that reached a server with free slots.
/// \param server counts of that server.
void recordRefusal(ServiceRefusals&, RefusalCounts& server, bool refused, MonotonicTime now);

/// \returns the share of requests that the service's servers refuse although they have free slots.
double refusedShare(const ServiceRefusals&, MonotonicTime now);

/// \returns the same without the server whose counts are given.
double refusedShareOfOthers(const ServiceRefusals&, const RefusalCounts& server, MonotonicTime now);

/// \returns whether the servers refuse a considerable part alike, so that a refusal is no reason to leave the server alone.
bool refusesAlike(const ServiceRefusals&, MonotonicTime now);

/// \brief When a refused caller should come back: after \ref delay and a random part of \ref jitter.
struct RefusedRetryDelay {
    std::chrono::milliseconds delay { 0 };
    std::chrono::milliseconds jitter { 0 };
};

/// \returns the delay if the service refuses alike: the caller may be accepted at once, and has little time.
RefusedRetryDelay retryDelayAfterAlikeRefusal(std::chrono::milliseconds latencyObjective);

} // namespace lacewingsail
