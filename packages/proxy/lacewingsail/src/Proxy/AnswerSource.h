#pragma once

#include "Attempt.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace lacewingsail::internal {

/// \brief The body of an answer, read piece by piece from its backend server.
class AnswerSource {
public:
    static constexpr std::size_t pieceBytes = 32 * 1024;

    explicit AnswerSource(AnswerBegun);

    const ResponseHeader& header() const { return m_parser.get().base(); }
    bool chunked() const { return m_parser.chunked(); }
    std::optional<std::uint64_t> length() const;
    bool done() const { return m_parser.is_done(); }

    /// \brief Reads some bytes. \param error beast::error::timeout if none arrived within \p bound.
    /// \returns a view that is valid until the next call; possibly empty at the end of the answer.
    net::awaitable<std::string_view> read(Duration bound, boost::system::error_code& error);

    /// \brief Lets the operation under way fail.
    void cancel() { m_connection->stream.cancel(); }

    /// \returns the connection if it may be used again: the answer is whole and nothing follows it. Otherwise null.
    UpstreamConnectionPtr release();

private:
    UpstreamConnectionPtr m_connection;
    bool m_keep;
    http::response_parser<http::buffer_body> m_parser;
    std::array<char, pieceBytes> m_piece {};
};

} // namespace lacewingsail::internal
