#pragma once

#include "BookingClaims.h"
#include "TextHash.h"

#include <lacewingsail/World.h>

#include <cstddef>
#include <deque>
#include <string>

namespace lacewingsail {

/// \brief What is known of one idempotency key.
struct Booking {
    RequestId owner;
    std::string fingerprint;
    bool finished = false;
    BookingResult result = BookingResult::Unknown;
    RecordedResponse response;
    /// The owner has given up or has sent its request by then.
    MonotonicTime runningUntil {};
};

/// \brief State of the fold over one stream of bookings, in log order.
struct BookingFold {
    struct ExpiryEntry {
        MonotonicTime readAt;
        std::string name;
        RequestId owner;
    };

    TextMap<Booking> bookings;
    /// Oldest first; may name bookings that are gone.
    std::deque<ExpiryEntry> expiryQueue;
    /// Estimate of the memory that the bookings take.
    std::size_t estimatedBytes = 0;
};

/// \brief Folds one claim. The first claim of a key owns it until the owner says that it did not run.
/// \returns the verdict on this claim; InProgress for a claim that is the owner's own, read again.
ClaimDecision apply(BookingFold&, const BookingClaim&, MonotonicTime now);

/// \brief Folds one outcome; only the first one of the owner counts. \returns whether it counted.
bool apply(BookingFold&, const BookingOutcome&);

/// \brief Forgets the keys whose claims were read at least \p retention ago.
void removeExpired(BookingFold&, MonotonicTime now, Duration retention);

/// \returns the booking of \p key, or null.
const Booking* findBooking(const BookingFold&, const ClientAccountId&, const std::string& key);

} // namespace lacewingsail
