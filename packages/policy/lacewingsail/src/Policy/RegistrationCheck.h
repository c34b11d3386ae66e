#pragma once

#include <lacewingsail/World.h>

#include <cstddef>
#include <optional>
#include <string_view>

namespace lacewingsail {

/// \brief Whether a name that another writer chose can be used in header fields and in messages between hosts: it is not empty, not
/// longer than the longest key of the store, and consists of visible ASCII characters.
bool isValidName(std::string_view);

/// \returns the name of the field whose value a backend server cannot have, or nothing if the registration can be used.
std::optional<std::string_view> invalidField(const RegisteredServer&);

/// \brief Whether a fleet can have this many hosts.
bool isValidFleetSize(std::size_t hosts);

} // namespace lacewingsail
