#pragma once

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief Recovery of an ejected backend server: a hold without requests, then probes, then a warm-up.
struct Recovery {
    Duration holdDuration {};
    MonotonicTime holdUntil {};
    MonotonicTime returnedAt {};
    MonotonicTime warmupStartedAt {};
    MonotonicTime lastProbeAt {};
    int probesPassed = 0;
    bool warmingUp = false;
    bool hasReturned = false;
};

/// \brief Starts the hold. Its duration doubles, up to a maximum, each time the server is ejected soon after its return.
void beginHold(Recovery&, MonotonicTime now);

/// \returns whether a probe may be sent now; if so, records it as sent.
bool tryStartProbe(Recovery&, MonotonicTime now);

/// \brief Records the result of a probe; a failure restarts the hold with twice the duration, up to a maximum.
void recordProbe(Recovery&, bool passed, MonotonicTime now);

/// \returns whether enough consecutive probes have passed.
bool hasPassedProbes(const Recovery&);

/// \brief Records the return. \param warmup whether the server starts with a warm-up.
void beginReturn(Recovery&, bool warmup, MonotonicTime now);

/// \brief Starts the warm-up of a new server.
void beginWarmup(Recovery&, MonotonicTime now);

/// \returns the share of its slots that the server uses, in steps of ten percent.
Percent warmupShare(const Recovery&, MonotonicTime now);

} // namespace lacewingsail
