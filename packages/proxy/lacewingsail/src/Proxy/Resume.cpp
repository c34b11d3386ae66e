#include "Resume.h"

#include <array>
#include <cassert>
#include <charconv>

namespace lacewingsail::internal {

namespace {

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusPartialContent = 206;
    constexpr std::string_view rangeUnit = "bytes ";

    std::string_view viewOf(const ResponseHeader& header, http::field name)
    {
        const auto value = header[name];
        return { value.data(), value.size() };
    }

    // Reads a whole number at the front of text and removes it together with the separator behind it.
    std::optional<std::uint64_t> takeNumber(std::string_view& text, char separator)
    {
        std::uint64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc())
            return std::nullopt;
        text.remove_prefix(static_cast<std::size_t>(end - text.data()));
        if (separator == '\0')
            return text.empty() ? std::optional(value) : std::nullopt;
        if (text.empty() || text.front() != separator)
            return std::nullopt;
        text.remove_prefix(1);
        return value;
    }

    bool isStrong(std::string_view etag) { return etag.size() >= 2 && etag.front() == '"' && etag.back() == '"'; }

    // Reads "bytes first-last/total".
    bool readContentRange(const ResponseHeader& header, Download& download)
    {
        std::string_view value = viewOf(header, http::field::content_range);
        if (header.count(http::field::content_range) != 1 || !value.starts_with(rangeUnit))
            return false;
        value.remove_prefix(rangeUnit.size());
        const auto first = takeNumber(value, '-');
        const auto last = first ? takeNumber(value, '/') : std::nullopt;
        const auto total = last ? takeNumber(value, '\0') : std::nullopt;
        if (!total || *first > *last || *last >= *total)
            return false;
        download.first = *first;
        download.last = *last;
        download.total = *total;
        return true;
    }

    std::optional<std::uint64_t> lengthOf(const ResponseHeader& header)
    {
        std::string_view value = viewOf(header, http::field::content_length);
        return header.count(http::field::content_length) == 1 ? takeNumber(value, '\0') : std::nullopt;
    }

} // namespace

std::optional<Download> downloadOf(const RequestHeader& request, const ResponseHeader& answer)
{
    const auto length = lengthOf(answer);
    const std::string_view etag = viewOf(answer, http::field::etag);
    if (request.method() != http::verb::get || !length || *length == 0 || !isStrong(etag))
        return std::nullopt;
    Download download { std::string(etag), 0, *length - 1, *length };
    if (answer.result_int() == statusOk)
        return download;
    if (answer.result_int() != statusPartialContent || !readContentRange(answer, download))
        return std::nullopt;
    return download.last - download.first + 1 == *length ? std::optional(download) : std::nullopt;
}

void askForRest(RequestHeader& request, const Download& download, std::uint64_t sent)
{
    assert(download.first + sent <= download.last);
    constexpr std::array replaced { http::field::range, http::field::if_none_match, http::field::if_modified_since, http::field::if_unmodified_since };
    for (const http::field name : replaced)
        request.erase(name);
    request.set(http::field::range, "bytes=" + std::to_string(download.first + sent) + '-' + std::to_string(download.last));
    // A server that knows only one of the two conditions still cannot mix two representations.
    request.set(http::field::if_match, download.etag);
    request.set(http::field::if_range, download.etag);
}

bool isRestOf(const ResponseHeader& answer, const Download& download, std::uint64_t sent)
{
    Download rest;
    if (answer.result_int() != statusPartialContent || viewOf(answer, http::field::etag) != download.etag || !readContentRange(answer, rest))
        return false;
    const auto length = lengthOf(answer);
    return rest.first == download.first + sent && rest.last == download.last && rest.total == download.total && length && *length == rest.last - rest.first + 1;
}

} // namespace lacewingsail::internal
