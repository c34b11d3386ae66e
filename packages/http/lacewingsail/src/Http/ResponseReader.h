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

/// Interim (1xx) responses that may precede a response.
constexpr int maxInterimResponses = 8;

namespace internal {

    inline std::string_view unparsedBytes(const boost::beast::flat_buffer& buffer)
    {
        return { static_cast<const char*>(buffer.data().data()), buffer.size() };
    }

    /// \brief Reads some bytes. \param error buffer_overflow if the buffer is full, eof at the end of the connection.
    template <typename Stream>
    boost::asio::awaitable<void> readMore(Stream& stream, boost::beast::flat_buffer& buffer, boost::system::error_code& error)
    {
        constexpr std::size_t maxReadBytes = 64 * 1024;
        const std::size_t space = boost::beast::read_size(buffer, maxReadBytes);
        if (space == 0) {
            error = boost::beast::http::error::buffer_overflow;
            co_return;
        }
        buffer.commit(co_await stream.async_read_some(buffer.prepare(space), boost::asio::redirect_error(boost::asio::use_awaitable, error)));
    }

    template <typename Stream, typename Parser>
    boost::asio::awaitable<void> readOneHead(Stream& stream, boost::beast::flat_buffer& buffer, Parser& parser, boost::system::error_code& error)
    {
        ResponseHeadCheck check;
        for (;;) {
            error = check.check(unparsedBytes(buffer));
            if (error || check.size() > 0)
                break;
            co_await readMore(stream, buffer, error);
            if (error == boost::asio::error::eof)
                error = buffer.size() == 0 ? boost::beast::http::error::end_of_stream : boost::beast::http::error::partial_message;
            if (error)
                break;
        }
        if (!error)
            buffer.consume(parser.put(boost::asio::buffer(buffer.data(), check.size()), error));
    }

} // namespace internal

/// \brief Reads up to the end of the head of the response to a request; the body is still to be read, see readResponseBody().
/// \param maxBodyBytes none if the body is not limited.
/// \param error set unless the head is complete and valid.
template <typename Body, typename Stream>
boost::asio::awaitable<std::unique_ptr<boost::beast::http::response_parser<Body>>> readResponseHead(
    Stream& stream, boost::beast::flat_buffer& buffer, boost::beast::http::verb method, std::optional<std::uint64_t> maxBodyBytes, boost::system::error_code& error)
{
    for (int interim = 0; interim <= maxInterimResponses; ++interim) {
        auto parser = std::make_unique<boost::beast::http::response_parser<Body>>();
        parser->header_limit(maxUnparsedBytes);
        parser->body_limit(maxBodyBytes ? boost::optional<std::uint64_t>(*maxBodyBytes) : boost::none);
        parser->skip(method == boost::beast::http::verb::head);
        co_await internal::readOneHead(stream, buffer, *parser, error);
        if (error)
            co_return nullptr;
        if (parser->get().result_int() >= 200)
            co_return parser;
    }
    error = boost::beast::http::error::unexpected_body;
    co_return nullptr;
}

/// \brief Reads some of the body, as boost::beast::http::async_read_some() does, and checks how it ends.
/// \param sendError how the sending of the request has failed by then, if it has.
template <typename Stream, typename Parser>
boost::asio::awaitable<void> readResponseBody(
    Stream& stream, boost::beast::flat_buffer& buffer, Parser& parser, const boost::system::error_code& sendError, boost::system::error_code& error)
{
    for (;;) {
        if (buffer.size() > 0) {
            const std::size_t parsed = parser.put(buffer.data(), error);
            if (!error && parser.is_done() && parser.chunked())
                error = checkTrailer(internal::unparsedBytes(buffer).substr(0, parsed));
            buffer.consume(parsed);
            if (error != boost::beast::http::error::need_more)
                co_return;
            error = {};
        }
        co_await internal::readMore(stream, buffer, error);
        if (error == boost::asio::error::eof) {
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
boost::asio::awaitable<std::optional<boost::beast::http::response<Body>>> readResponse(
    Stream& stream, boost::beast::flat_buffer& buffer, boost::beast::http::verb method, std::uint64_t maxBodyBytes, boost::system::error_code& error)
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
    const bool fromParser = error.category() == boost::beast::http::make_error_code(boost::beast::http::error::bad_status).category();
    return standard.category() == responseFaultCategory() || (fromParser && error != boost::beast::http::error::end_of_stream);
}

} // namespace lacewingsail
