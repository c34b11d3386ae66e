#pragma once

namespace lacewingsail {

class BookingShard;
class ClaimTracker;
class LogBookings;
struct BookingBatch;

} // namespace lacewingsail
