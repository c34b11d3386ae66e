#include "BookingStep.h"

#include "Await.h"

#include <lacewingsail/Wire.h>

#include <algorithm>

namespace lacewingsail::internal {

namespace {

    constexpr std::size_t longestIdempotencyKey = 128;
    constexpr std::size_t largestRecordedBody = 2048;
    constexpr std::size_t longestRecordedContentType = 256;

    std::string idempotencyKey(const RequestContext& request)
    {
        const auto value = request.message[idempotencyKeyField];
        return { value.data(), value.size() };
    }

    // Visible characters only: a key goes into records and log lines.
    bool isWellFormedKey(const std::string& key)
    {
        const bool visible = std::all_of(key.begin(), key.end(), [](char each) { return each > ' ' && each < 0x7f; });
        return visible && !key.empty() && key.size() <= longestIdempotencyKey;
    }

    ClientAccountId accountOf(const RequestContext& request) { return request.account ? request.account->id : ClientAccountId(); }

    std::string fingerprintOf(const RequestContext& request)
    {
        std::string text(request.message.method_string());
        text += '\n';
        text += request.message.target();
        text += '\n';
        text += sha256(request.message.body());
        return sha256(text);
    }

    // A quarter of the time is left for the request itself, or for the refusal to arrive in time.
    MonotonicTime claimDeadline(const RequestContext& request) { return request.deadline - (request.deadline - request.arrivedAt) / 4; }

    BookingClaim claimOf(const RequestContext& request)
    {
        const Duration left = request.deadline - request.thread.services.clock.now();
        const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(std::max(left, Duration::zero()));
        return { accountOf(request), idempotencyKey(request), fingerprintOf(request), request.id, deadline };
    }

    BookingStep notRun(ResultCode code) { return UnsentAttempt().refuse(code); }

    // "Not run" is said only where it holds for the key: a caller that reads it may book again.
    BookingStep stepOf(const ClaimDecision& decision)
    {
        switch (decision.verdict) {
        case ClaimVerdict::Run:
            return MayRun { true };
        case ClaimVerdict::Replay:
            return decision.response;
        case ClaimVerdict::ResponseNotRecorded:
            return OutcomeUnknown(ResultCode::BookingAnswerNotKept);
        case ClaimVerdict::InProgress:
            return OutcomeUnknown(ResultCode::BookingInProgress);
        case ClaimVerdict::Unknown:
            return OutcomeUnknown(ResultCode::BookingUnknown);
        case ClaimVerdict::DifferentRequest:
            return notRun(ResultCode::IdempotencyKeyReused);
        case ClaimVerdict::TableFull:
            return notRun(ResultCode::BookingTableFull);
        case ClaimVerdict::LogUnavailable:
            break;
        }
        return notRun(ResultCode::BookingLogAway);
    }

} // namespace

net::awaitable<BookingStep> claimBooking(RequestContext& request)
{
    const std::size_t count = request.message.count(idempotencyKeyField);
    if (request.route->repeatable || count == 0)
        co_return MayRun {};
    if (count > 1 || !isWellFormedKey(idempotencyKey(request)))
        co_return notRun(ResultCode::MalformedRequest);
    const ClaimDecision decision = co_await awaitAnswer<ClaimDecision>([&request](BookingClaims::Callback answer) {
        request.thread.services.bookings.claim(claimOf(request), claimDeadline(request), std::move(answer));
    });
    co_return stepOf(decision);
}

BookingEnd::BookingEnd(const RequestContext& request, const MayRun& leave)
    : m_request(request)
    , m_claimed(leave.claimed)
{
}

BookingEnd::~BookingEnd()
{
    if (m_claimed)
        m_request.thread.services.bookings.finish({ accountOf(m_request), idempotencyKey(m_request), m_request.id, m_result, std::move(m_answer) });
}

void BookingEnd::settle(BookingResult result, RecordedResponse answer)
{
    m_result = result;
    m_answer = std::move(answer);
    m_answer.bodyKept = m_answer.bodyKept && m_answer.body.size() <= largestRecordedBody && m_answer.contentType.size() <= longestRecordedContentType;
    if (!m_answer.bodyKept)
        m_answer = { m_answer.status, {}, {}, false };
}

} // namespace lacewingsail::internal
