#pragma once

#include <lacewingsail/World.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lacewingsail {

/// \brief Writes log lines to a file descriptor without ever waiting for it, within a budget of lines a second.
///
/// Lines beyond the budget, and those for which a full pipe leaves no room, are dropped and counted; the count is the next
/// line written. Used by one thread.
class LineLog {
public:
    /// \param descriptor made non-blocking.
    LineLog(int descriptor, const Clock&);

    /// \brief Adds a line, with the time of day in milliseconds in front.
    void write(std::string_view line);

    /// \brief Hands over what has been collected.
    void flush();

    std::uint64_t dropped() const { return m_droppedInAll; }

private:
    bool mayWrite();
    void append(std::string_view line);

    int m_descriptor;
    const Clock& m_clock;
    std::string m_pending;
    double m_lines;
    MonotonicTime m_refilledAt;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedInAll = 0;
};

} // namespace lacewingsail
