#pragma once

namespace lacewingsail {

class BookingShard;
class ClaimDesk;
class LogBookings;
struct BookingBatch;

} // namespace lacewingsail
