#pragma once

#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief One record of a stream of bookings: claims and outcomes of one host. The outcomes are folded before the
/// claims.
struct BookingBatch {
    /// Unique for each append.
    std::string id;
    HostId host;
    std::vector<BookingOutcome> outcomes;
    std::vector<BookingClaim> claims;

    bool operator==(const BookingBatch&) const = default;
};

/// \brief Formats a batch as one record. A response that is not valid UTF-8 is recorded without its body.
std::string formatBookingBatch(const BookingBatch&);

/// \brief Parses a record. Unknown fields are ignored, so that hosts of different releases compute the same fold.
/// \param problem set to the reason if nothing is returned.
std::optional<BookingBatch> parseBookingBatch(std::string_view record, std::string& problem);

} // namespace lacewingsail
