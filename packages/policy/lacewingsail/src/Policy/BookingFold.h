#pragma once

#include "BookingClaims.h"
#include "TextHash.h"

#include <lacewingsail/World.h>

#include <cstddef>
#include <deque>
#include <string>

namespace lacewingsail {

/// \brief State of one idempotency key.
struct Booking {
    /// The request whose claim of the key came first.
    RequestId owner;
    std::string fingerprint;
    bool finished = false;
    BookingResult result = BookingResult::Unknown;
    RecordedResponse response;
    /// By then the owner has either sent its request or given it up.
    MonotonicTime runningUntil {};
};

/// \brief State computed by applying the records of one booking stream in log order.
struct BookingFold {
    struct ExpiryEntry {
        MonotonicTime readAt;
        std::string name;
        RequestId owner;
    };

    /// By client account and idempotency key.
    TextMap<Booking> bookings;
    /// Oldest first; may contain entries of bookings that were removed.
    std::deque<ExpiryEntry> expiryQueue;
    /// Estimated memory usage of the bookings.
    std::size_t estimatedBytes = 0;
};

/// \brief Applies one claim. The first claim of a key owns it until an outcome NotRun of the owner releases it.
/// \param now when the claim was read.
/// \returns the verdict on this claim; InProgress if the owner's own claim is applied again.
ClaimDecision apply(BookingFold&, const BookingClaim&, MonotonicTime now);

/// \brief Applies one outcome; only the first outcome of the owner has an effect. \returns whether it had one.
bool apply(BookingFold&, const BookingOutcome&);

/// \brief Removes the keys whose claims were read at least \p retention ago.
void removeExpired(BookingFold&, MonotonicTime now, Duration retention);

/// \returns the booking of \p key, or null if there is none.
const Booking* findBooking(const BookingFold&, const ClientAccountId&, const std::string& key);

} // namespace lacewingsail
