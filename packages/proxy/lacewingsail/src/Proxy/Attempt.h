#pragma once

#include "RequestContext.h"

#include <lacewingsail/Policy.h>

#include <memory>
#include <optional>
#include <string_view>
#include <variant>

namespace lacewingsail::internal {

using EmptyParser = http::response_parser<http::empty_body>;

/// \brief The header of an answer that belongs to the request; its body is still on the connection.
struct AnswerBegun {
    UpstreamConnectionPtr connection;
    std::unique_ptr<EmptyParser> parser;
};

/// \brief What became of one attempt.
using AttemptResult = std::variant<AnswerBegun, NotRun, OutcomeUnknown>;

/// \brief Counts a request as under way at a backend server for as long as it exists.
class InFlightMark {
public:
    InFlightMark() = default;
    explicit InFlightMark(std::shared_ptr<BackendServerLoad> load)
        : m_load(std::move(load))
    {
        m_load->inFlight.fetch_add(1, std::memory_order_relaxed);
    }
    ~InFlightMark()
    {
        if (m_load)
            m_load->inFlight.fetch_sub(1, std::memory_order_relaxed);
    }
    InFlightMark(InFlightMark&&) noexcept = default;
    InFlightMark& operator=(InFlightMark&& other) noexcept
    {
        std::swap(m_load, other.m_load);
        return *this;
    }

private:
    std::shared_ptr<BackendServerLoad> m_load;
};

/// \brief Which backend server an attempt goes to.
struct AttemptTarget {
    const Service* service = nullptr;
    const BackendServer* server = nullptr;
    std::shared_ptr<BackendServerLoad> load;
    InFlightMark inFlight;
    std::shared_ptr<ServiceAttemptLimits> timing;
    /// Whether the attempt tries an ejected server.
    bool probe = false;
    /// Whether no further attempt follows, so that a stall is waited out.
    bool last = false;
};

/// \brief Sends the request to one backend server and waits for the header of its answer.
net::awaitable<AttemptResult> attempt(RequestContext&, const AttemptTarget&);

/// \brief Reports how an attempt ended.
/// \param stallAlreadyReported whether the attempt was reported as stalled before.
void reportAttempt(RequestContext&, const AttemptTarget&, AttemptOutcome, MonotonicTime begunAt, bool stallAlreadyReported = false);

/// \brief Records in the journal why a response of the server was not passed on.
void recordRefusedResponse(RequestContext&, const AttemptTarget&, std::string_view reason);

} // namespace lacewingsail::internal
