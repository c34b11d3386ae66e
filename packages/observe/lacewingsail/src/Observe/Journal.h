#pragma once

#include "Event.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief The most recent decisions and refusals with their evidence, for the operators; each is also written to
/// the log. Safe to use from several threads.
class Journal {
public:
    /// \param capacity how many events are kept; as many may wait to be written.
    explicit Journal(std::size_t capacity);

    /// \brief Writes what still waits.
    ~Journal();
    Journal(const Journal&) = delete;
    Journal& operator=(const Journal&) = delete;

    /// \brief Hands the event to the journal's own thread. Takes no lock and never waits; when too many events wait,
    /// the event is dropped and counted.
    void record(const Event&);

    /// \returns the kept lines that contain \p part, oldest first. Copies them; not for request threads.
    std::vector<std::string> linesWith(std::string_view part) const;

    /// \brief The same, of the lines from \p position on; every line has the next position, the first one 0.
    /// \param position set to the position after the last line, for the next call.
    std::vector<std::string> linesWith(std::string_view part, std::uint64_t& position) const;

    /// \returns how many events were dropped so far.
    std::uint64_t dropped() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
