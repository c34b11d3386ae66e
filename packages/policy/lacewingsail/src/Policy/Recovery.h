#pragma once

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief The way of an ejected backend server back into use: a hold, probes, a ramp.
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

/// \brief Starts the hold. It doubles each time a server is ejected soon after its return.
void beginHold(Recovery&, MonotonicTime now);

/// \returns whether a probe may be sent now, and notes it as sent.
bool tryStartProbe(Recovery&, MonotonicTime now);

/// \brief Counts a probe; a failed one starts the hold again, doubled.
void recordProbe(Recovery&, bool passed, MonotonicTime now);

/// \returns whether enough probes in a row have passed.
bool hasPassedProbes(const Recovery&);

/// \brief Notes the return. \param ramp whether the server starts with a small share.
void beginReturn(Recovery&, bool ramp, MonotonicTime now);

/// \brief Starts the ramp of a server that is new.
void beginWarmup(Recovery&, MonotonicTime now);

/// \returns the share of its slots that the server serves with, in steps of ten percent.
Percent warmupShare(const Recovery&, MonotonicTime now);

} // namespace lacewingsail
