#pragma once

#include <cstddef>

namespace lacewingsail::internal {

/// \brief Limits the memory for responses of backend servers that are being read.
///
/// Once all together exceed the limit, each one above an equal part of it fails: a server that sends without end takes the
/// memory of its own response only.
class ResponseBuffers {
public:
    /// A fifth of the memory of the smallest hosts; a growing buffer takes up to three times its content.
    static constexpr std::size_t maxBytes = 32 * 1024 * 1024;

    /// \brief Memory of one response for the lifetime of the object.
    class Reservation {
    public:
        explicit Reservation(ResponseBuffers& buffers)
            : m_buffers(buffers)
        {
            ++m_buffers.m_responses;
        }
        ~Reservation()
        {
            --m_buffers.m_responses;
            m_buffers.m_bytes -= m_bytes;
        }
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;

        /// \brief Records the present size. \returns whether the response may continue.
        [[nodiscard]] bool resize(std::size_t bytes)
        {
            m_buffers.m_bytes += bytes - m_bytes;
            m_bytes = bytes;
            return m_buffers.m_bytes <= maxBytes || m_bytes <= maxBytes / m_buffers.m_responses;
        }

    private:
        ResponseBuffers& m_buffers;
        std::size_t m_bytes = 0;
    };

private:
    std::size_t m_bytes = 0;
    std::size_t m_responses = 0;
};

} // namespace lacewingsail::internal
