#pragma once

#include <lacewingsail/World.h>

namespace lacewingsail {

/// \brief Proof that a request had no effect on any backend server. Only an UnsentAttempt, or an answer that
/// itself says so, can make one.
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

/// \brief A request that may have run although no whole answer arrived.
class OutcomeUnknown {
public:
    /// \brief Anyone may say so, as it claims nothing.
    explicit OutcomeUnknown(ResultCode code)
        : m_code(code)
    {
    }

    ResultCode code() const { return m_code; }

private:
    ResultCode m_code;
};

/// \brief A request whose first byte has been handed to a socket. It can no longer say "not run" by itself.
class SentAttempt {
public:
    /// \brief Ends the attempt without a whole answer.
    OutcomeUnknown fail(ResultCode code) && { return OutcomeUnknown(code); }

    /// \brief Ends the attempt with the backend server's own statement that it did not run the request.
    NotRun refusedByServer(ResultCode code) && { return NotRun(code); }

private:
    friend class UnsentAttempt;
    SentAttempt() = default;
};

/// \brief A request of which no byte has left yet.
class UnsentAttempt {
public:
    /// \brief Gives the request up.
    NotRun refuse(ResultCode code) && { return NotRun(code); }

    /// \brief To be called before the first byte is handed to the socket.
    SentAttempt send() && { return {}; }
};

} // namespace lacewingsail
