#include <lacewingsail/Http.h>

#include "FieldLine.h"

#include <algorithm>
#include <cassert>

namespace lacewingsail {

namespace {

    constexpr std::size_t mostFields = 100;
    constexpr std::string_view lineEnd = "\r\n";

    bool isRequestLine(std::string_view line)
    {
        return std::count(line.begin(), line.end(), ' ') == 2 && line.find('\t') == std::string_view::npos;
    }

} // namespace

std::size_t rawHeaderSize(std::string_view bytes)
{
    std::size_t size = std::string_view::npos;
    for (const std::string_view end : { std::string_view("\n\r\n"), std::string_view("\n\n") }) {
        const std::size_t found = bytes.find(end);
        if (found != std::string_view::npos)
            size = std::min(size, found + end.size());
    }
    return size;
}

ResultCode checkRawHeader(std::string_view header)
{
    assert(!header.empty());
    std::size_t lines = 0;
    while (!header.empty()) {
        const std::size_t end = header.find(lineEnd);
        if (end == std::string_view::npos)
            return ResultCode::MalformedRequest;
        const std::string_view line = header.substr(0, end);
        header.remove_prefix(end + lineEnd.size());
        if (internal::hasControlCharacter(line))
            return ResultCode::MalformedRequest;
        if (line.empty())
            return lines > 0 && header.empty() ? ResultCode::Ok : ResultCode::MalformedRequest;
        if (lines == 0 ? !isRequestLine(line) : !internal::isFieldLine(line))
            return ResultCode::MalformedRequest;
        if (++lines > mostFields + 1)
            return ResultCode::HeaderTooLarge;
    }
    return ResultCode::MalformedRequest;
}

bool containsStatusLine(std::string_view text)
{
    constexpr std::string_view version = "HTTP/1.";
    // A minor version, a space and a status, where 0 stands for any digit.
    constexpr std::string_view rest = "0 000";
    const auto matches = [](char character, char pattern) { return pattern == '0' ? character >= '0' && character <= '9' : character == pattern; };
    for (std::size_t at = text.find(version); at != std::string_view::npos; at = text.find(version, at + 1)) {
        if (std::ranges::equal(text.substr(at + version.size(), rest.size()), rest, matches))
            return true;
    }
    return false;
}

} // namespace lacewingsail
