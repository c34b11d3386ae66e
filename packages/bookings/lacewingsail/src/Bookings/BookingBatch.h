#pragma once

#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief One record of a stream of bookings: claims and outcomes of one host. Outcomes are folded first.
struct BookingBatch {
    /// Unique for each append.
    std::string id;
    HostId host;
    std::vector<BookingOutcome> outcomes;
    std::vector<BookingClaim> claims;

    bool operator==(const BookingBatch&) const = default;
};

/// \brief Writes a batch as one record. An answer that is no valid text is recorded without its body.
std::string formatBookingBatch(const BookingBatch&);

/// \brief Reads a record. Unknown fields are ignored, so that hosts of different releases fold alike.
/// \param problem says why nothing is returned.
std::optional<BookingBatch> parseBookingBatch(std::string_view record, std::string& problem);

} // namespace lacewingsail
