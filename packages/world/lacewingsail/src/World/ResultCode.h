#pragma once

#include <span>
#include <string_view>
#include <system_error>

namespace lacewingsail {

/// \brief What became of a request or of an operator's command. The numbers never change meaning;
/// docs/RESULT-CODES.md lists them.
enum class ResultCode {
    Ok = 0,

    MalformedRequest = 101,
    HeaderTooLarge = 102,
    BodyTooLarge = 103,
    RequestTimeout = 104,
    NoRoute = 105,

    KeyMissing = 201,
    KeyUnknown = 202,
    KeyWithdrawn = 203,
    KeysStale = 204,

    RateExceeded = 301,
    Overloaded = 302,

    NoConfiguration = 401,
    NoBackendServer = 402,
    ConnectFailed = 403,
    ShuttingDown = 404,

    UpstreamTimeout = 501,
    UpstreamBroken = 502,
    UpstreamWrongAnswer = 503,

    BookingInProgress = 601,
    BookingUnknown = 602,
    BookingLogAway = 603,
    IdempotencyKeyReused = 604,
    BookingAnswerNotKept = 605,
    BookingTableFull = 606,

    InvalidArgument = 701,
    InvalidSettings = 702,
    InvalidConfiguration = 703,
    LostRace = 704,
    LogUnavailable = 705,
    HostUnreachable = 706,
    NotInForce = 707,
    NotAuthorized = 708,
    CheckpointMissing = 709,
    PartlyWithdrawn = 710,
};

/// \brief Whether the request may have had an effect on a backend server.
enum class Execution {
    NotRun,
    Unknown,
    Answered,
};

/// \brief One row of the table of result codes.
struct ResultCodeEntry {
    ResultCode code;
    std::string_view name;
    int httpStatus;
    std::string_view meaning;
};

/// \returns every result code in ascending order.
std::span<const ResultCodeEntry> resultCodes();

/// \returns the row of \p code.
const ResultCodeEntry& entryOf(ResultCode);

/// \returns the category of \ref ResultCode, named "lacewingsail".
const std::error_category& resultCategory();

std::error_code make_error_code(ResultCode); // NOLINT(readability-identifier-naming): found by std::error_code through its name

} // namespace lacewingsail

template <>
struct std::is_error_code_enum<lacewingsail::ResultCode> : std::true_type {
};
