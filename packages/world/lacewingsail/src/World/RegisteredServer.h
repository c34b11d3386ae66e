#pragma once

#include "Ids.h"
#include "Machines.h"
#include "Units.h"

#include <chrono>
#include <compare>
#include <cstdint>

namespace lacewingsail {

/// \brief Order of a server's registrations as the server itself counts them, whatever their position in the store.
struct RegistrationStamp {
    /// Unix time of the server's start; tells the incarnations of one id apart.
    std::chrono::milliseconds startedAt { 0 };
    /// Counts the heartbeats of an incarnation.
    std::uint64_t heartbeat = 0;

    auto operator<=>(const RegistrationStamp&) const = default;
};

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
    /// Counts the heartbeats of an incarnation.
    std::uint64_t heartbeat = 0;

    /// \returns the stamp of this registration: a record with a lower one is older, whenever it arrives.
    RegistrationStamp stamp() const { return { startedAt, heartbeat }; }

    bool operator==(const RegisteredServer&) const = default;
};

} // namespace lacewingsail
