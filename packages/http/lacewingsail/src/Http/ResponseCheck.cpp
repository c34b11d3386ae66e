#include <lacewingsail/Http.h>

#include "FieldLine.h"

#include <boost/beast/core/string.hpp>

#include <cassert>
#include <charconv>
#include <string>

namespace lacewingsail {

namespace internal {

    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view protocolName = "HTTP/1.";
    constexpr std::size_t statusDigits = 3;
    constexpr unsigned minStatus = 100;
    constexpr unsigned maxStatus = 599;
    constexpr unsigned statusSwitchingProtocols = 101;
    constexpr unsigned minFinalStatus = 200;
    constexpr unsigned statusNoContent = 204;

    class ResponseFaultCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "lacewingsail-response"; }
        std::string message(int condition) const override
        {
            switch (static_cast<ResponseFault>(condition)) {
            case ResponseFault::InvalidStatus:
                return "invalid status";
            case ResponseFault::MalformedHead:
                return "malformed head";
            case ResponseFault::RunsIntoAnother:
                return "another response begins inside a field";
            case ResponseFault::AmbiguousFraming:
                return "ambiguous length of the body";
            case ResponseFault::MalformedTrailer:
                return "malformed trailer";
            }
            return "unknown fault of a response";
        }
    };

    std::string_view trimmed(std::string_view value)
    {
        constexpr std::string_view blanks = " \t";
        const std::size_t first = value.find_first_not_of(blanks);
        return first == std::string_view::npos ? std::string_view() : value.substr(first, value.find_last_not_of(blanks) - first + 1);
    }

    std::error_code checkFieldLine(std::string_view line)
    {
        if (hasControlCharacter(line) || !isFieldLine(line))
            return ResponseFault::MalformedHead;
        return containsStatusLine(line) ? make_error_code(ResponseFault::RunsIntoAnother) : std::error_code();
    }

} // namespace internal

const std::error_category& responseFaultCategory()
{
    static const internal::ResponseFaultCategory category;
    return category;
}

std::error_code make_error_code(ResponseFault fault) { return { static_cast<int>(fault), responseFaultCategory() }; }

std::error_code ResponseHeadCheck::check(std::string_view bytes)
{
    while (m_size == 0) {
        const std::string_view rest = bytes.substr(m_checked);
        const std::size_t end = rest.find('\n');
        if (end == std::string_view::npos) {
            const std::string_view start = rest.substr(0, internal::protocolName.size());
            return m_checked == 0 && !internal::protocolName.starts_with(start) ? make_error_code(ResponseFault::MalformedHead) : std::error_code();
        }
        if (end == 0 || rest[end - 1] != '\r')
            return ResponseFault::MalformedHead;
        const std::string_view line = rest.substr(0, end - 1);
        if (const std::error_code error = checkLine(line))
            return error;
        m_checked += end + 1;
        if (line.empty())
            m_size = m_checked;
    }
    return {};
}

std::error_code ResponseHeadCheck::checkLine(std::string_view line)
{
    if (m_checked == 0)
        return checkStatusLine(line);
    return line.empty() ? checkFraming() : checkField(line);
}

std::error_code ResponseHeadCheck::checkStatusLine(std::string_view line)
{
    // A version, a space, a status of three digits, a space and a reason.
    if (internal::hasControlCharacter(line) || !line.starts_with(internal::protocolName))
        return ResponseFault::MalformedHead;
    line.remove_prefix(internal::protocolName.size());
    m_codingsAllowed = line.starts_with("1 ");
    if (!m_codingsAllowed && !line.starts_with("0 "))
        return ResponseFault::MalformedHead;
    line.remove_prefix(2);
    const std::string_view digits = line.substr(0, internal::statusDigits);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), m_status);
    line.remove_prefix(digits.size());
    if (error != std::errc() || end != digits.data() + internal::statusDigits || !line.starts_with(' '))
        return ResponseFault::MalformedHead;
    if (m_status < internal::minStatus || m_status > internal::maxStatus || m_status == internal::statusSwitchingProtocols)
        return ResponseFault::InvalidStatus;
    return containsStatusLine(line) ? make_error_code(ResponseFault::RunsIntoAnother) : std::error_code();
}

std::error_code ResponseHeadCheck::checkField(std::string_view line)
{
    if (const std::error_code error = internal::checkFieldLine(line))
        return error;
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = internal::trimmed(line.substr(colon + 1));
    if (boost::beast::iequals(name, "Transfer-Encoding")) {
        ++m_codings;
        m_chunked = boost::beast::iequals(value, "chunked");
    } else if (boost::beast::iequals(name, "Content-Length")) {
        m_statesLength = true;
        m_statesBody = m_statesBody || value.find_first_not_of('0') != std::string_view::npos;
    }
    return {};
}

// The parser checks the lengths themselves. It takes a body in an unknown coding for one that ends with the connection.
std::error_code ResponseHeadCheck::checkFraming() const
{
    const bool hasNoBody = m_status < internal::minFinalStatus || m_status == internal::statusNoContent;
    const bool codingUnderstood = m_codings == 1 && m_chunked && m_codingsAllowed && !m_statesLength;
    const bool sound = m_codings == 0 ? !hasNoBody || !m_statesBody : codingUnderstood && !hasNoBody;
    return sound ? std::error_code() : make_error_code(ResponseFault::AmbiguousFraming);
}

std::error_code checkTrailer(std::string_view end)
{
    assert(end.ends_with("\r\n\r\n"));
    end.remove_suffix(internal::lineEnd.size());
    while (end.ends_with(internal::lineEnd)) {
        end.remove_suffix(internal::lineEnd.size());
        const std::size_t before = end.rfind(internal::lineEnd);
        const std::string_view line = before == std::string_view::npos ? end : end.substr(before + internal::lineEnd.size());
        // The line of the last chunk: zeros, and possibly an extension, which begins with a character that no name has.
        if (line.starts_with('0') && !internal::isFieldLine(line))
            return {};
        if (const std::error_code error = internal::checkFieldLine(line))
            return error == ResponseFault::MalformedHead ? make_error_code(ResponseFault::MalformedTrailer) : error;
        end.remove_suffix(line.size());
    }
    return ResponseFault::MalformedTrailer;
}

// A reset is reported to one operation only: once sending has met it, reading sees an end like any other. Sending meets a broken
// pipe instead if the server had ended the connection in order before.
bool isCompleteAtConnectionEnd(const std::error_code& sendError) { return !sendError || sendError == std::errc::broken_pipe; }

} // namespace lacewingsail
