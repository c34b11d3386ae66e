#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace lacewingsail {

/// \brief Identifies a kind of work: the requests of a route. Zero if the route is not known.
struct WorkKind {
    std::uint64_t value = 0;

    auto operator<=>(const WorkKind&) const = default;
};

WorkKind workKind(const RouteId&);

/// \brief Usual processing time of requests of one kind, without queueing: moving averages of what was observed.
struct UsualWork {
    std::chrono::duration<double> mean { 0 };
    /// Mean absolute deviation.
    std::chrono::duration<double> deviation { 0 };
    std::uint32_t samples = 0;
    MonotonicTime updatedAt {};
};

/// \brief Usual processing times of a service's requests, fed by outcomes only.
///
/// Routes differ in their work although operators give them the same latency objective. A route without outcomes is expected to
/// take as long as the service's other routes of its objective, or a share of the objective if there are none. Kinds that had no
/// outcome for a while are forgotten, so that a value that keeps a kind from being placed cannot last.
struct ProcessingTimes {
    /// At most some hundreds; the least recently updated one makes room.
    std::unordered_map<std::uint64_t, UsualWork> byKind;
    std::map<std::chrono::milliseconds, UsualWork> byObjective;
    MonotonicTime lastForgottenAt {};
};

/// \returns the usual processing time, at most the latency objective if there is one.
std::chrono::duration<double> usualProcessingTime(const ProcessingTimes&, WorkKind, std::chrono::milliseconds latencyObjective);

/// \returns the same with the deviation added: few requests take longer by much.
std::chrono::duration<double> cautiousProcessingTime(const ProcessingTimes&, WorkKind, std::chrono::milliseconds latencyObjective);

/// \brief Records the processing time of a request that succeeded, without queueing.
void recordProcessingTime(ProcessingTimes&, WorkKind, std::chrono::milliseconds latencyObjective, std::chrono::duration<double> sample, MonotonicTime now);

/// \brief Forgets the kinds that had no outcome for a while. Does nothing if it was called less than a second ago.
void forgetUnusedKinds(ProcessingTimes&, MonotonicTime now);

} // namespace lacewingsail
