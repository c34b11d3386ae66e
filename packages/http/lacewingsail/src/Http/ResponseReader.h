#pragma once

#include "RawHeader.h"
#include "ResponseCheck.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace lacewingsail {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Interim (1xx) responses that may precede a response.
constexpr int maxInterimResponses = 8;

namespace internal {

    inline std::string_view unparsedBytes(const beast::flat_buffer& buffer)
    {
        return { static_cast<const char*>(buffer.data().data()), buffer.size() };
    }

    /// \brief Reads some bytes. \param error buffer_overflow if the buffer is full, eof at the end of the connection.
    template <typename Stream>
    net::awaitable<void> readMore(Stream& stream, beast::flat_buffer& buffer, boost::system::error_code& error)
    {
        constexpr std::size_t maxReadBytes = 64 * 1024;
        const std::size_t space = beast::read_size(buffer, maxReadBytes);
        if (space == 0) {
            error = http::error::buffer_overflow;
            co_return;
        }
        buffer.commit(co_await stream.async_read_some(buffer.prepare(space), net::redirect_error(net::use_awaitable, error)));
    }

    template <typename Stream, typename Parser>
    net::awaitable<void> readOneHead(Stream& stream, beast::flat_buffer& buffer, Parser& parser, boost::system::error_code& error)
    {
        ResponseHeadCheck check;
        for (;;) {
            error = check.check(unparsedBytes(buffer));
            if (error || check.size() > 0)
                break;
            co_await readMore(stream, buffer, error);
            if (error == net::error::eof)
                error = buffer.size() == 0 ? http::error::end_of_stream : http::error::partial_message;
            if (error)
                break;
        }
        if (!error)
            buffer.consume(parser.put(net::buffer(buffer.data(), check.size()), error));
    }

} // namespace internal

/// \brief Reads up to the end of the head of the response to a request; the body is still to be read, see readResponseBody().
/// \param maxBodyBytes none if the body is not limited.
/// \param error set unless the head is complete and valid.
template <typename Body, typename Stream>
net::awaitable<std::unique_ptr<http::response_parser<Body>>> readResponseHead(
    Stream& stream, beast::flat_buffer& buffer, http::verb method, std::optional<std::uint64_t> maxBodyBytes, boost::system::error_code& error)
{
    for (int interim = 0; interim <= maxInterimResponses; ++interim) {
        auto parser = std::make_unique<http::response_parser<Body>>();
        parser->header_limit(maxUnparsedBytes);
        parser->body_limit(maxBodyBytes ? boost::optional<std::uint64_t>(*maxBodyBytes) : boost::none);
        parser->skip(method == http::verb::head);
        co_await internal::readOneHead(stream, buffer, *parser, error);
        if (error)
            co_return nullptr;
        if (parser->get().result_int() >= 200)
            co_return parser;
    }
    error = http::error::unexpected_body;
    co_return nullptr;
}

/// \brief Reads some of the body, as http::async_read_some() does, and checks how it ends.
/// \param sendError how the sending of the request has failed by then, if it has.
template <typename Stream, typename Parser>
net::awaitable<void> readResponseBody(
    Stream& stream, beast::flat_buffer& buffer, Parser& parser, const boost::system::error_code& sendError, boost::system::error_code& error)
{
    for (;;) {
        if (buffer.size() > 0) {
            const std::size_t parsed = parser.put(buffer.data(), error);
            if (!error && parser.is_done() && parser.chunked())
                error = checkTrailer(internal::unparsedBytes(buffer).substr(0, parsed));
            buffer.consume(parsed);
            if (error != http::error::need_more)
                co_return;
            error = {};
        }
        co_await internal::readMore(stream, buffer, error);
        if (error == net::error::eof) {
            if (isCompleteAtConnectionEnd(sendError))
                parser.put_eof(error);
            else
                error = sendError;
            co_return;
        }
        if (error)
            co_return;
    }
}

/// \brief Reads the whole response to a request that has been sent.
/// \param error set unless the response is complete and valid.
template <typename Body, typename Stream>
net::awaitable<std::optional<http::response<Body>>> readResponse(
    Stream& stream, beast::flat_buffer& buffer, http::verb method, std::uint64_t maxBodyBytes, boost::system::error_code& error)
{
    const auto parser = co_await readResponseHead<Body>(stream, buffer, method, maxBodyBytes, error);
    if (parser)
        parser->eager(true);
    while (!error && !parser->is_done())
        co_await readResponseBody(stream, buffer, *parser, {}, error);
    if (error)
        co_return std::nullopt;
    co_return parser->release();
}

/// \returns whether the error is that of a response that was refused, and not that of a connection.
inline bool isRefusal(const boost::system::error_code& error)
{
    const std::error_code standard = error;
    const bool fromParser = error.category() == http::make_error_code(http::error::bad_status).category();
    return standard.category() == responseFaultCategory() || (fromParser && error != http::error::end_of_stream);
}

} // namespace lacewingsail
