#pragma once

#include "FleetSnapshot.h"

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief How one attempt at a backend server ended.
enum class AttemptOutcome : unsigned char {
    /// A complete response that belongs to the request.
    Answered,
    /// A complete response that reports a server error (5xx).
    Failed,
    ConnectFailed,
    /// No byte arrived within the stall timeout.
    Stalled,
    ConnectionBroken,
    /// A response to another request, or one that fails verification.
    InvalidResponse,
    /// The server reported that it did not run the request because it has no free capacity.
    Shed,
    /// The server reported that it did not run the request because it is leaving.
    Leaving,
    /// Cancelled by the caller or in favour of another attempt; says nothing about the server.
    Cancelled,
};

/// \brief Evidence that one attempt gives about a backend server.
struct AttemptEvidence {
    ServiceId service;
    BackendServerId server;
    AttemptOutcome outcome = AttemptOutcome::Answered;
    /// Time to the first byte of the response, or to the end of the attempt if there was none.
    std::chrono::microseconds latency { 0 };
    /// The attempt was a probe of an ejected server.
    bool probe = false;
    /// The attempt was reported as stalled before; only its latency is new information.
    bool stallAlreadyReported = false;
};

/// \brief Receives evidence from the request threads; must not block.
class EvidenceSink {
public:
    virtual ~EvidenceSink() = default;
    virtual void observe(const AttemptEvidence&) = 0;
};

} // namespace lacewingsail
