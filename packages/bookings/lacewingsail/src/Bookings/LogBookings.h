#pragma once

#include "BookingShard.h"
#include "ClaimTracker.h"

#include <lacewingsail/Observe.h>
#include <lacewingsail/Platform.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include <functional>
#include <memory>

namespace lacewingsail {

/// \brief Number of streams over which the keys are spread. Part of the log format: hosts with different numbers would
/// claim a key on different streams.
constexpr int bookingShardCount = 2;

/// \returns the name of the stream on which claims of \p key are decided.
std::string bookingStream(const ClientAccountId&, const std::string& key);

/// \brief Implementation of BookingClaims on the streams `bookings/N` of the log.
class LogBookings final : public BookingClaims {
public:
    using MakeLog = std::function<std::unique_ptr<LogService>()>;

    LogBookings(const HostSettings&, const MakeLog&, const Clock&, Journal&);

    /// \brief Waits a limited time for pending claims and for outcomes that have not been appended yet.
    ~LogBookings() override;
    LogBookings(const LogBookings&) = delete;
    LogBookings& operator=(const LogBookings&) = delete;

    void claim(BookingClaim, MonotonicTime deadline, Callback) override;
    void finish(BookingOutcome) override;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
