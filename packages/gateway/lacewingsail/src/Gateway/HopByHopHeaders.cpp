#include "HopByHopHeaders.h"

#include <array>
#include <string>
#include <vector>

namespace lacewingsail::internal {

namespace {

    constexpr std::array hopByHopFields { "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };

} // namespace

void eraseHopByHopFields(http::fields& fields)
{
    std::vector<std::string> listed;
    for (const auto& token : http::token_list(fields[http::field::connection]))
        listed.emplace_back(token);
    for (const std::string& name : listed)
        fields.erase(name);
    for (const char* name : hopByHopFields)
        fields.erase(name);
}

bool hasUnambiguousFraming(const http::request_header<>& header)
{
    const std::size_t lengths = header.count(http::field::content_length);
    const std::size_t encodings = header.count(http::field::transfer_encoding);
    return lengths + encodings <= 1 && (encodings == 0 || beast::iequals(header[http::field::transfer_encoding], "chunked"));
}

} // namespace lacewingsail::internal
