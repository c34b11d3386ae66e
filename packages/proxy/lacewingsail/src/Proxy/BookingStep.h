#pragma once

#include "RequestContext.h"

#include <lacewingsail/Policy.h>

#include <variant>

namespace lacewingsail::internal {

/// \brief Leave to go on: the request needs no claim, or its claim was the first of its key.
struct MayRun {
    bool claimed = false;
};

/// \brief What the claim of a request came to.
using BookingStep = std::variant<MayRun, RecordedResponse, NotRun, OutcomeUnknown>;

/// \brief Claims a request that may not be repeated and has an idempotency key.
net::awaitable<BookingStep> claimBooking(RequestContext&);

/// \brief Records the end of a claimed request, whatever way it ends; Unknown unless settled.
class BookingEnd {
public:
    BookingEnd(const RequestContext&, const MayRun&);
    ~BookingEnd();
    BookingEnd(const BookingEnd&) = delete;
    BookingEnd& operator=(const BookingEnd&) = delete;

    /// \param answer ignored unless \p result is Answered.
    void settle(BookingResult result, RecordedResponse answer = {});

private:
    const RequestContext& m_request;
    const bool m_claimed;
    BookingResult m_result = BookingResult::Unknown;
    RecordedResponse m_answer;
};

} // namespace lacewingsail::internal
