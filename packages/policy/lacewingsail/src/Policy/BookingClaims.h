#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <functional>
#include <string>

namespace lacewingsail {

/// \brief Claim to execute one non-repeatable request under an idempotency key. The fleet-wide record of such a key is
/// called a booking.
struct BookingClaim {
    ClientAccountId account;
    std::string key;
    /// Digest of method, target and body; a key may be used for one request only.
    std::string fingerprint;
    /// Unique; distinguishes this claim from others with the same key.
    RequestId request;
    /// Duration from the claim until the claimant has either sent the request or given it up.
    std::chrono::milliseconds deadline { 0 };

    bool operator==(const BookingClaim&) const = default;
};

/// \brief Response of a backend server as stored with an idempotency key.
struct RecordedResponse {
    int status = 0;
    std::string contentType;
    std::string body;
    /// False if the body was not stored because it was too large or not valid text.
    bool bodyKept = true;

    bool operator==(const RecordedResponse&) const = default;
};

/// \brief How a claimed request ended.
enum class BookingResult : unsigned char {
    /// A complete response of a backend server is known.
    Answered,
    /// Certainly not executed; the key may be claimed again.
    NotRun,
    /// May have been executed.
    Unknown,
};

/// \brief Outcome of the request of one claim.
struct BookingOutcome {
    ClientAccountId account;
    std::string key;
    RequestId request;
    BookingResult result = BookingResult::Unknown;
    RecordedResponse response;

    bool operator==(const BookingOutcome&) const = default;
};

/// \brief Result of a claim.
enum class ClaimVerdict : unsigned char {
    /// The first claim of its key: the request may be sent, and finish() must be called.
    Run,
    /// An earlier request with the key was answered; its response is to be replayed.
    Replay,
    /// An earlier request with the key was answered, but its response was not stored.
    ResponseNotRecorded,
    /// An earlier request with the key is still running.
    InProgress,
    /// An earlier request with the key may have been executed.
    Unknown,
    /// The key was used for a different request.
    DifferentRequest,
    /// The claim was not decided in time. This request is never executed.
    LogUnavailable,
    /// The table of keys is full. This request is never executed.
    TableFull,
};

/// \brief Verdict on a claim, and the stored response for ClaimVerdict::Replay.
struct ClaimDecision {
    ClaimVerdict verdict = ClaimVerdict::LogUnavailable;
    RecordedResponse response;
};

/// \brief Decides, across the whole fleet, which request of an idempotency key is executed.
/// Thread-safe; lock-free and non-blocking.
class BookingClaims {
public:
    using Callback = std::function<void(const ClaimDecision&)>;

    virtual ~BookingClaims() = default;

    /// \param callback called exactly once, synchronously or later from any thread, at about \p deadline at the latest.
    virtual void claim(BookingClaim, MonotonicTime deadline, Callback callback) = 0;

    /// \brief Reports the outcome of a request whose claim had the verdict Run. Returns immediately.
    virtual void finish(BookingOutcome) = 0;
};

} // namespace lacewingsail
