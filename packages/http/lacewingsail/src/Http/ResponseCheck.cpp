#include <lacewingsail/Http.h>

#include "FieldLine.h"

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
            case ResponseFault::MalformedTrailer:
                return "malformed trailer";
            }
            return "unknown fault of a response";
        }
    };

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
    return line.empty() ? std::error_code() : internal::checkFieldLine(line);
}

std::error_code ResponseHeadCheck::checkStatusLine(std::string_view line)
{
    // A version, a space, a status of three digits, a space and a reason.
    if (internal::hasControlCharacter(line) || !line.starts_with(internal::protocolName))
        return ResponseFault::MalformedHead;
    line.remove_prefix(internal::protocolName.size());
    if (!line.starts_with("1 ") && !line.starts_with("0 "))
        return ResponseFault::MalformedHead;
    line.remove_prefix(2);
    unsigned status = 0;
    const std::string_view digits = line.substr(0, internal::statusDigits);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), status);
    line.remove_prefix(digits.size());
    if (error != std::errc() || end != digits.data() + internal::statusDigits || !line.starts_with(' '))
        return ResponseFault::MalformedHead;
    if (status < internal::minStatus || status > internal::maxStatus || status == internal::statusSwitchingProtocols)
        return ResponseFault::InvalidStatus;
    return containsStatusLine(line) ? make_error_code(ResponseFault::RunsIntoAnother) : std::error_code();
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

} // namespace lacewingsail
