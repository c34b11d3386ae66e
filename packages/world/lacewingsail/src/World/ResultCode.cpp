#include <lacewingsail/World.h>

#include <algorithm>
#include <array>
#include <string>

namespace lacewingsail {

namespace internal {

    constexpr std::array table {
        ResultCodeEntry { ResultCode::Ok, "ok", 200, "the request was answered by a backend server, or the command succeeded" },
        ResultCodeEntry { ResultCode::MalformedRequest, "malformed-request", 400, "the request is not well-formed HTTP/1.1 or frames its body ambiguously" },
        ResultCodeEntry { ResultCode::HeaderTooLarge, "header-too-large", 431, "the header exceeds the host's limit" },
        ResultCodeEntry { ResultCode::BodyTooLarge, "body-too-large", 413, "the body exceeds the host's limit" },
        ResultCodeEntry { ResultCode::RequestTimeout, "request-timeout", 408, "the caller sent the request too slowly" },
        ResultCodeEntry { ResultCode::NoRoute, "no-route", 404, "no route matches the method and path" },
        ResultCodeEntry { ResultCode::KeyMissing, "key-missing", 401, "the route needs a key and the request has none" },
        ResultCodeEntry { ResultCode::KeyUnknown, "key-unknown", 401, "no client account has this key" },
        ResultCodeEntry { ResultCode::KeyWithdrawn, "key-withdrawn", 401, "the key has been withdrawn" },
        ResultCodeEntry { ResultCode::KeysStale, "keys-stale", 503, "the host cannot tell whether keys were withdrawn, since it hears neither the log nor its peers" },
        ResultCodeEntry { ResultCode::RateExceeded, "rate-exceeded", 429, "the client account is above its rate and burst" },
        ResultCodeEntry { ResultCode::Overloaded, "overloaded", 503, "the service has no room for the request within its deadline" },
        ResultCodeEntry { ResultCode::NoConfiguration, "no-configuration", 503, "the host has no configuration yet" },
        ResultCodeEntry { ResultCode::NoBackendServer, "no-backend-server", 503, "the service has no backend server that may get the request" },
        ResultCodeEntry { ResultCode::ConnectFailed, "connect-failed", 502, "no backend server accepted a connection" },
        ResultCodeEntry { ResultCode::ShuttingDown, "shutting-down", 503, "the host is stopping" },
        ResultCodeEntry { ResultCode::UpstreamTimeout, "upstream-timeout", 504, "the backend server did not answer within the deadline" },
        ResultCodeEntry { ResultCode::UpstreamBroken, "upstream-broken", 502, "the connection to the backend server broke before the answer was whole" },
        ResultCodeEntry { ResultCode::UpstreamWrongAnswer, "upstream-wrong-answer", 502, "the backend server's answer does not belong to the request" },
        ResultCodeEntry { ResultCode::BookingInProgress, "booking-in-progress", 409, "another request with the same idempotency key is running" },
        ResultCodeEntry { ResultCode::BookingUnknown, "booking-unknown", 409, "an earlier request with the same idempotency key may have run, and its outcome is not known" },
        ResultCodeEntry { ResultCode::BookingLogAway, "booking-log-away", 503, "the booking cannot be claimed while the log service is away" },
        ResultCodeEntry { ResultCode::IdempotencyKeyReused, "idempotency-key-reused", 422, "the idempotency key was used before with a different request" },
        ResultCodeEntry { ResultCode::BookingAnswerNotKept, "booking-answer-not-kept", 409, "an earlier request with the same idempotency key was answered, and the answer was too large to be kept" },
        ResultCodeEntry { ResultCode::BookingTableFull, "booking-table-full", 503, "the fleet has no room for further idempotency keys until older ones expire" },
        ResultCodeEntry { ResultCode::InvalidArgument, "invalid-argument", 400, "the command line or the operator's request is wrong" },
        ResultCodeEntry { ResultCode::InvalidSettings, "invalid-settings", 400, "the settings file is wrong" },
        ResultCodeEntry { ResultCode::InvalidConfiguration, "invalid-configuration", 400, "the configuration text is wrong" },
        ResultCodeEntry { ResultCode::LostRace, "lost-race", 409, "another operator's change was accepted first" },
        ResultCodeEntry { ResultCode::LogUnavailable, "log-unavailable", 503, "the log service does not answer" },
        ResultCodeEntry { ResultCode::HostUnreachable, "host-unreachable", 503, "a host does not answer" },
        ResultCodeEntry { ResultCode::NotInForce, "not-in-force", 504, "the change was accepted but is not in force on every listed host yet" },
        ResultCodeEntry { ResultCode::NotAuthorized, "not-authorized", 403, "the caller is not an operator or a host of the fleet" },
        ResultCodeEntry { ResultCode::CheckpointMissing, "checkpoint-missing", 503, "records of the log have expired and neither a checkpoint nor a host makes up for them" },
        ResultCodeEntry { ResultCode::PartlyWithdrawn, "partly-withdrawn", 503, "a withdrawal reached neither the log nor more than half of the listed hosts" },
    };

    class ResultCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "lacewingsail"; }
        std::string message(int code) const override
        {
            return std::string(entryOf(static_cast<ResultCode>(code)).meaning);
        }
    };

} // namespace internal

std::span<const ResultCodeEntry> resultCodes() { return internal::table; }

const ResultCodeEntry& entryOf(ResultCode code)
{
    const auto found = std::ranges::find(internal::table, code, &ResultCodeEntry::code);
    return found == internal::table.end() ? internal::table.front() : *found;
}

const std::error_category& resultCategory()
{
    static const internal::ResultCategory category;
    return category;
}

std::error_code make_error_code(ResultCode code) { return { static_cast<int>(code), resultCategory() }; }

} // namespace lacewingsail
