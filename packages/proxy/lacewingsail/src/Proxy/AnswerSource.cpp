#include "AnswerSource.h"

#include <lacewingsail/HttpResponses.h>

namespace lacewingsail::internal {

AnswerSource::AnswerSource(AnswerBegun begun)
    : m_connection(std::move(begun.connection))
    , m_keep(begun.parser->keep_alive())
    , m_parser(std::move(*begun.parser))
{
}

std::optional<std::uint64_t> AnswerSource::length() const
{
    const auto length = m_parser.content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

net::awaitable<std::string_view> AnswerSource::read(Duration bound, boost::system::error_code& error)
{
    auto& body = m_parser.get().body();
    body.data = m_piece.data();
    body.size = m_piece.size();
    m_connection->stream.expires_after(bound);
    // One read at a time, so that what a slow server has sent is passed on at once and each pause is bounded.
    while (!m_parser.is_done() && body.size == m_piece.size()) {
        co_await readResponseBody(m_connection->stream, m_connection->buffer, m_parser, {}, error);
        if (error == http::error::need_buffer)
            error = {};
        if (error)
            break;
    }
    co_return std::string_view(m_piece.data(), m_piece.size() - body.size);
}

UpstreamConnectionPtr AnswerSource::release()
{
    if (!m_keep || !m_parser.is_done() || m_connection->buffer.size() != 0)
        return nullptr;
    return std::move(m_connection);
}

} // namespace lacewingsail::internal
