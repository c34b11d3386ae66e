#pragma once

#include <lacewingsail/World.h>

#include <chrono>

namespace lacewingsail {

/// \brief Requests in flight that one or more hosts have at a backend server, and its recent outcomes.
/// The counts of outcomes decay exponentially, so that they cover the last seconds.
struct ServerStats {
    double inFlight = 0;
    double answered = 0;
    double failed = 0;
    /// Sum of the times to answer of \ref answered, in milliseconds.
    double totalAnswerMs = 0;
};

/// \returns the sums of both.
ServerStats operator+(const ServerStats&, const ServerStats&);

/// \returns the differences, but at least zero: the two may be of slightly different age.
ServerStats subtractClamped(const ServerStats& whole, const ServerStats& part);

/// \brief Decays the counts of outcomes by the elapsed time; requests in flight stay as they are.
void decay(ServerStats&, Duration elapsed);

} // namespace lacewingsail
