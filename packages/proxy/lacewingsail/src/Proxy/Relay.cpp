#include "Relay.h"

#include <array>

namespace lacewingsail::internal {

namespace {

    constexpr std::size_t pieceBytes = 32 * 1024;
    constexpr std::chrono::seconds callerWriteTimeout { 60 };

    using PieceParser = http::response_parser<http::buffer_body>;
    using PieceSerializer = http::response_serializer<http::buffer_body>;

    void prepareHeader(PieceParser& parser, const RequestContext& request, bool closing)
    {
        auto& header = parser.get();
        const bool chunked = parser.chunked();
        stripForCaller(header);
        header.set(requestIdField, request.id.value());
        // Setting chunked(false) would drop the length.
        if (chunked)
            header.chunked(true);
        header.keep_alive(!closing);
    }

    net::awaitable<boost::system::error_code> readPiece(UpstreamConnection& upstream, PieceParser& parser, std::array<char, pieceBytes>& piece)
    {
        boost::system::error_code error;
        auto& body = parser.get().body();
        body.data = piece.data();
        body.size = piece.size();
        co_await http::async_read(upstream.stream, upstream.buffer, parser, net::redirect_error(net::use_awaitable, error));
        if (error == http::error::need_buffer)
            error = {};
        body.size = piece.size() - body.size;
        body.data = piece.data();
        body.more = !parser.is_done();
        co_return error;
    }

    net::awaitable<boost::system::error_code> writePiece(beast::tcp_stream& caller, PieceSerializer& serializer)
    {
        boost::system::error_code error;
        caller.expires_after(callerWriteTimeout);
        co_await http::async_write(caller, serializer, net::redirect_error(net::use_awaitable, error));
        if (error == http::error::need_buffer)
            error = {};
        co_return error;
    }

    net::awaitable<RelayEnd> relayWithoutBody(PieceParser& parser, beast::tcp_stream& caller)
    {
        http::response<http::empty_body> message(parser.get().base());
        http::response_serializer<http::empty_body> serializer(message);
        boost::system::error_code error;
        caller.expires_after(callerWriteTimeout);
        co_await http::async_write_header(caller, serializer, net::redirect_error(net::use_awaitable, error));
        co_return error ? RelayEnd::Broken : RelayEnd::Whole;
    }

    net::awaitable<RelayEnd> relayBody(UpstreamConnection& upstream, PieceParser& parser, beast::tcp_stream& caller)
    {
        PieceSerializer serializer(parser.get());
        auto piece = std::make_unique<std::array<char, pieceBytes>>();
        do {
            if (co_await readPiece(upstream, parser, *piece))
                co_return RelayEnd::Broken;
            if (co_await writePiece(caller, serializer))
                co_return RelayEnd::Broken;
        } while (!parser.is_done());
        co_return RelayEnd::Whole;
    }

} // namespace

net::awaitable<RelayEnd> relay(RequestContext& request, const AttemptTarget& target, AnswerBegun begun, beast::tcp_stream& caller, bool closing)
{
    const bool keepUpstream = begun.parser->keep_alive();
    PieceParser parser(std::move(*begun.parser));
    prepareHeader(parser, request, closing);
    const RelayEnd end = parser.is_done() ? co_await relayWithoutBody(parser, caller) : co_await relayBody(*begun.connection, parser, caller);
    request.cancelAttempt = nullptr;
    if (end == RelayEnd::Whole && keepUpstream)
        request.thread.pool.put(target.load, std::move(begun.connection));
    co_return end;
}

} // namespace lacewingsail::internal
