#include <lacewingsail/Observe.h>

#include <cassert>

namespace lacewingsail {

Journal::Journal(std::size_t capacity)
    : m_capacity(capacity)
{
    assert(capacity > 0);
}

void Journal::record(const Event& event)
{
    log(event);
    const std::lock_guard lock(m_mutex);
    if (m_lines.size() == m_capacity)
        m_lines.pop_front();
    m_lines.push_back(event.line());
}

std::vector<std::string> Journal::linesWith(std::string_view part) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> result;
    for (const std::string& line : m_lines) {
        if (line.find(part) != std::string::npos)
            result.push_back(line);
    }
    return result;
}

} // namespace lacewingsail
