#pragma once

#include <cstddef>
#include <string_view>
#include <system_error>

namespace lacewingsail {

/// \brief Why a response does not count. Nothing that it says holds, not even whether the request was run.
enum class ResponseFault {
    /// Not from 100 to 599, or 101: no request asks for another protocol.
    InvalidStatus = 1,
    MalformedHead,
    /// A status line in a field: the response was broken off there, and another one follows.
    RunsIntoAnother,
    /// The length of the body can be read in several ways, or not at all.
    AmbiguousFraming,
    MalformedTrailer,
};

const std::error_category& responseFaultCategory();

std::error_code make_error_code(ResponseFault); // NOLINT(readability-identifier-naming): found by std::error_code through its name

/// \brief Checks the head of a response as it arrives, more strictly than a tolerant parser does.
class ResponseHeadCheck {
public:
    /// \param bytes the response as far as it has arrived; they begin with those of the call before.
    /// \returns a ResponseFault once the bytes cannot be the start of a valid head.
    std::error_code check(std::string_view bytes);

    /// \returns the size of the head with its empty line in bytes, or 0 while that has not arrived.
    std::size_t size() const { return m_size; }

private:
    std::error_code checkLine(std::string_view line);
    std::error_code checkStatusLine(std::string_view line);
    std::error_code checkField(std::string_view line);
    std::error_code checkFraming() const;

    std::size_t m_checked = 0;
    std::size_t m_size = 0;
    unsigned m_status = 0;
    /// Whether the version has transfer codings.
    bool m_codingsAllowed = false;
    int m_codings = 0;
    bool m_chunked = false;
    bool m_statesLength = false;
    /// Whether a length is stated that is not 0.
    bool m_statesBody = false;
};

/// \brief Checks the trailer behind the last chunk.
/// \param end the last bytes of the response, from before its last chunk on.
std::error_code checkTrailer(std::string_view end);

/// \brief Decides whether a response whose length is not stated is complete when its connection ends.
/// \param sendError how the sending of the request has failed, if it has.
bool isCompleteAtConnectionEnd(const std::error_code& sendError);

} // namespace lacewingsail

template <>
struct std::is_error_code_enum<lacewingsail::ResponseFault> : std::true_type {
};
