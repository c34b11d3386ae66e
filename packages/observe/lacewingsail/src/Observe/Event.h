#pragma once

#include <lacewingsail/World.h>

#include <functional>
#include <string>
#include <string_view>

namespace lacewingsail {

/// \brief One event as a line of key=value pairs. Values with spaces, quotes or control characters are quoted.
class Event {
public:
    explicit Event(std::string_view name);

    Event& with(std::string_view key, std::string_view value);
    Event& with(std::string_view key, const char* value) { return with(key, std::string_view(value)); }
    Event& with(std::string_view key, long long value);
    Event& with(std::string_view key, ResultCode);

    template <typename Tag>
    Event& with(std::string_view key, const StrongId<Tag>& id) { return with(key, std::string_view(id.value())); }

    const std::string& line() const { return m_line; }

private:
    std::string m_line;
};

/// \brief Sends log lines to the standard error stream, one event a line, each with its time.
void startLog(const char* program);

/// \brief Writes a stack trace to the standard error stream when a signal such as SIGSEGV or SIGABRT ends the process. To be called
/// before signals are handled.
void reportCrashes();

/// \brief Sends log lines to \p sink from now on, in place of the standard error stream. To be called before any other
/// thread starts.
void redirectLog(std::function<void(std::string_view line)> sink);

/// \brief Writes the event to the log. May wait for the log stream; not for request threads.
void log(const Event&);

/// \brief Writes the line of an event to the log.
void logLine(std::string_view line);

} // namespace lacewingsail
