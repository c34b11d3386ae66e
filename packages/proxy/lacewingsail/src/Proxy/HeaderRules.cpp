#include "HeaderRules.h"

#include <algorithm>
#include <array>

namespace lacewingsail::internal {

namespace {

    constexpr std::string_view bearerScheme = "Bearer ";
    constexpr std::array hopByHopFields { "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };

    std::size_t countOf(const http::fields& fields, http::field name) { return fields.count(name); }

    bool isDigits(std::string_view value)
    {
        return !value.empty() && value.find_first_not_of("0123456789") == std::string_view::npos;
    }

    bool hasUnambiguousFraming(const RequestHeader& header)
    {
        const std::size_t lengths = countOf(header, http::field::content_length);
        const std::size_t encodings = countOf(header, http::field::transfer_encoding);
        if (lengths + encodings > 1)
            return false;
        if (lengths == 1 && !isDigits(header[http::field::content_length]))
            return false;
        return encodings == 0 || beast::iequals(header[http::field::transfer_encoding], "chunked");
    }

    // Fields that Connection names belong to this hop too.
    void eraseNamedByConnection(http::fields& fields)
    {
        std::vector<std::string> named;
        for (const auto& token : http::token_list(fields[http::field::connection]))
            named.emplace_back(token);
        for (const std::string& name : named)
            fields.erase(name);
    }

    void eraseHopByHopFields(http::fields& fields)
    {
        eraseNamedByConnection(fields);
        for (const char* name : hopByHopFields)
            fields.erase(name);
    }

} // namespace

ResultCode checkRequestHeader(const RequestHeader& header)
{
    if (header.version() != 11 || !hasUnambiguousFraming(header))
        return ResultCode::MalformedRequest;
    if (countOf(header, http::field::host) != 1 || countOf(header, http::field::authorization) > 1)
        return ResultCode::MalformedRequest;
    if (header.count(http::field::expect) != 0 && !beast::iequals(header[http::field::expect], "100-continue"))
        return ResultCode::MalformedRequest;
    if (header.target().empty() || header.target().front() != '/')
        return ResultCode::MalformedRequest;
    return ResultCode::Ok;
}

std::string_view presentedSecret(const RequestHeader& header)
{
    const auto field = header[http::field::authorization];
    std::string_view value(field.data(), field.size());
    if (!beast::iequals(value.substr(0, bearerScheme.size()), bearerScheme))
        return {};
    value.remove_prefix(bearerScheme.size());
    return value;
}

void stripForBackendServer(RequestHeader& header)
{
    eraseHopByHopFields(header);
    header.erase(http::field::authorization);
    header.erase(http::field::expect);
    header.erase(http::field::content_length);
    header.erase(requestIdField);
    header.erase(deadlineField);
    header.erase(codeField);
    header.erase(executionField);
}

void stripForCaller(ResponseHeader& header)
{
    eraseHopByHopFields(header);
    header.erase(codeField);
    header.erase(executionField);
    header.erase(replayedField);
    header.erase(requestIdField);
}

} // namespace lacewingsail::internal
