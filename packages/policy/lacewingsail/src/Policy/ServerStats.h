#pragma once

#include <lacewingsail/World.h>

#include <chrono>

namespace lacewingsail {

/// \brief What one host, or several together, have under way with a backend server and how it answered lately.
/// The counts fade, so that they tell of the last seconds.
struct ServerStats {
    double inFlight = 0;
    double answered = 0;
    double failed = 0;
    /// Sum of the times to answer of \ref answered, in milliseconds.
    double totalAnswerMs = 0;
};

/// \returns both together.
ServerStats operator+(const ServerStats&, const ServerStats&);

/// \returns what \p whole has beyond \p part, not below zero; the two may be of slightly different age.
ServerStats subtractClamped(const ServerStats& whole, const ServerStats& part);

/// \brief Lets the counts fade by the time that has passed; requests in flight stay.
void decay(ServerStats&, Duration elapsed);

} // namespace lacewingsail
