#pragma once

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief Proof that a request was not executed by any backend server. Created only by an UnsentAttempt, or by a
/// SentAttempt whose backend server stated that it did not run the request.
class NotRun {
public:
    ResultCode code() const { return m_code; }

private:
    friend class UnsentAttempt;
    friend class SentAttempt;
    explicit NotRun(ResultCode code)
        : m_code(code)
    {
    }

    ResultCode m_code;
};

/// \brief Result of a request that may have been executed although no complete response arrived.
class OutcomeUnknown {
public:
    /// \brief Public, unlike the constructor of NotRun, because it asserts nothing about the request.
    explicit OutcomeUnknown(ResultCode code)
        : m_code(code)
    {
    }

    ResultCode code() const { return m_code; }

private:
    ResultCode m_code;
};

/// \brief A request whose first byte was passed to a socket. It can no longer produce a NotRun by itself.
class SentAttempt {
public:
    /// \brief Ends the attempt without a complete response.
    OutcomeUnknown fail(ResultCode code) && { return OutcomeUnknown(code); }

    /// \brief Ends the attempt with the backend server's statement that it did not run the request.
    NotRun refusedByServer(ResultCode code) && { return NotRun(code); }

private:
    friend class UnsentAttempt;
    SentAttempt() = default;
};

/// \brief A request of which no byte has been sent.
class UnsentAttempt {
public:
    /// \brief Rejects the request without sending it.
    NotRun refuse(ResultCode code) && { return NotRun(code); }

    /// \brief Must be called before the first byte is passed to the socket.
    SentAttempt send() && { return {}; }
};

} // namespace lacewingsail
