#pragma once

#include "FleetSnapshot.h"

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief How one attempt at a backend server ended.
enum class AttemptOutcome : unsigned char {
    /// A whole answer that belongs to the request.
    Answered,
    /// A whole answer that reports a failure of the server (5xx).
    Failed,
    ConnectFailed,
    /// No byte within the bound.
    Stalled,
    ConnectionBroken,
    /// An answer to another request, or one that cannot be checked.
    InvalidResponse,
    /// The server said that it did not run the request since it has no room.
    Shed,
    /// The server said that it is leaving.
    Leaving,
    /// Given up by the caller or for another attempt; says nothing about the server.
    Cancelled,
};

/// \brief What one attempt shows about a backend server.
struct AttemptEvidence {
    ServiceId service;
    BackendServerId server;
    AttemptOutcome outcome = AttemptOutcome::Answered;
    /// Time to the first byte of the answer, or to the end of the attempt if there was none.
    std::chrono::microseconds latency { 0 };
    /// The attempt tried whether an ejected server is well again.
    bool probe = false;
    /// The attempt was reported as stalled before; only its latency is news.
    bool stallAlreadyReported = false;
};

/// \brief Takes in evidence from the request threads; must not block.
class EvidenceSink {
public:
    virtual ~EvidenceSink() = default;
    virtual void observe(const AttemptEvidence&) = 0;
};

} // namespace lacewingsail
