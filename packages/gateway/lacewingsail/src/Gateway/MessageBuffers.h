#pragma once

#include <cstddef>

namespace lacewingsail::internal {

/// \brief Limits the memory for the bodies of messages.
///
/// Once all together exceed the limit, each one above an equal part of it fails: a server or caller that sends without end takes
/// the memory of its own message only.
class MessageBuffers {
public:
    /// A fifth of the memory of the smallest hosts; a growing buffer takes up to three times its content.
    static constexpr std::size_t maxResponseBytes = 32 * 1024 * 1024;
    /// A tenth of that memory. Apart from that of responses, so that requests which are waiting leave room for the responses to others.
    static constexpr std::size_t maxRequestBytes = 16 * 1024 * 1024;

    explicit MessageBuffers(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    std::size_t maxBytes() const { return m_maxBytes; }

    /// \brief Memory of one message for the lifetime of the object.
    class Reservation {
    public:
        explicit Reservation(MessageBuffers& buffers)
            : m_buffers(buffers)
        {
            ++m_buffers.m_messages;
        }
        ~Reservation()
        {
            --m_buffers.m_messages;
            m_buffers.m_bytes -= m_bytes;
        }
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;

        /// \brief Records the present size. \returns whether the message may continue.
        [[nodiscard]] bool resize(std::size_t bytes)
        {
            m_buffers.m_bytes += bytes - m_bytes;
            m_bytes = bytes;
            return m_buffers.m_bytes <= m_buffers.m_maxBytes || m_bytes <= m_buffers.m_maxBytes / m_buffers.m_messages;
        }

    private:
        MessageBuffers& m_buffers;
        std::size_t m_bytes = 0;
    };

private:
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::size_t m_messages = 0;
};

} // namespace lacewingsail::internal
