#pragma once

#include "Ids.h"
#include "Machines.h"
#include "Units.h"

#include <chrono>
#include <cstdint>

namespace lacewingsail {

/// \brief A backend server as it registers itself with the platform.
struct RegisteredServer {
    BackendServerId id;
    ServiceId service;
    ZoneId zone;
    Endpoint endpoint;
    SlotCount slots { 1 };
    /// It has announced its shutdown and gets no new work.
    bool draining = false;
    /// How much longer it is slow after its start, as of its last heartbeat.
    std::chrono::milliseconds warmupLeft { 0 };
    /// Unix time of its start; tells the incarnations of one id apart.
    std::chrono::milliseconds startedAt { 0 };
    /// Counts the heartbeats of an incarnation: a record with a lower one is older, whenever it arrives.
    std::uint64_t heartbeat = 0;

    bool operator==(const RegisteredServer&) const = default;
};

} // namespace lacewingsail
