#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <functional>
#include <string>

namespace lacewingsail {

/// \brief A wish to run one request that may not be repeated, under an idempotency key.
struct BookingClaim {
    ClientAccountId account;
    std::string key;
    /// Digest of method, target and body: a key stands for one request only.
    std::string fingerprint;
    /// Unique; names this claim among those with the same key.
    RequestId request;
    /// After this time its claimant has given up or has sent it.
    std::chrono::milliseconds deadline { 0 };

    bool operator==(const BookingClaim&) const = default;
};

/// \brief What the fleet keeps of a backend server's answer.
struct RecordedResponse {
    int status = 0;
    std::string contentType;
    std::string body;
    /// False if the body was too large, or no text, and was left out.
    bool bodyKept = true;

    bool operator==(const RecordedResponse&) const = default;
};

/// \brief How a claimed request ended.
enum class BookingResult : unsigned char {
    /// A backend server's whole answer is known.
    Answered,
    /// Surely not run; the key may be claimed again.
    NotRun,
    /// May have run.
    Unknown,
};

/// \brief The end of the request of one claim.
struct BookingOutcome {
    ClientAccountId account;
    std::string key;
    RequestId request;
    BookingResult result = BookingResult::Unknown;
    RecordedResponse response;

    bool operator==(const BookingOutcome&) const = default;
};

/// \brief What a claim came to.
enum class ClaimVerdict : unsigned char {
    /// The first claim of its key: the request may be sent, and finish() must be called.
    Run,
    /// An earlier request with the key was answered; the answer is to be repeated.
    Replay,
    /// An earlier request with the key was answered; the answer was not kept.
    ResponseNotRecorded,
    /// An earlier request with the key is still running.
    InProgress,
    /// An earlier request with the key may have run.
    Unknown,
    /// The key stands for a different request.
    DifferentRequest,
    /// The claim could not be settled in time. This request is never run.
    LogUnavailable,
    /// No room for further keys. This request is never run.
    TableFull,
};

/// \brief The verdict on a claim, with the answer to repeat if there is one.
struct ClaimDecision {
    ClaimVerdict verdict = ClaimVerdict::LogUnavailable;
    RecordedResponse response;
};

/// \brief Decides, across the whole fleet, which request of an idempotency key runs.
/// Safe to use from several threads; takes no lock and never blocks.
class BookingClaims {
public:
    using Callback = std::function<void(const ClaimDecision&)>;

    virtual ~BookingClaims() = default;

    /// \param answer called once, at once or later and from any thread; at the latest about \p deadline.
    virtual void claim(BookingClaim, MonotonicTime deadline, Callback answer) = 0;

    /// \brief Says how a request ended whose claim had the verdict Run. Returns at once.
    virtual void finish(BookingOutcome) = 0;
};

} // namespace lacewingsail
