#pragma once

#include "Event.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief The most recent decisions and refusals with their evidence, for the operators.
/// Safe to use from several threads; not meant for the path of a successful request.
class Journal {
public:
    explicit Journal(std::size_t capacity);

    /// \brief Keeps the event and writes it to the log.
    void record(const Event&);

    /// \returns the kept lines that contain \p part, oldest first. Copies them.
    std::vector<std::string> linesWith(std::string_view part) const;

private:
    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<std::string> m_lines;
};

} // namespace lacewingsail
