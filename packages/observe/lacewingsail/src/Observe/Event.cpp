#include <lacewingsail/Observe.h>

#include <glog/logging.h>

#include <chrono>
#include <csignal>

namespace lacewingsail {

namespace internal {

    bool needsQuotes(std::string_view value)
    {
        if (value.empty())
            return true;
        for (const char character : value) {
            const bool plain = character > ' ' && character < 0x7f && character != '"' && character != '=' && character != '\\';
            if (!plain)
                return true;
        }
        return false;
    }

    void appendQuoted(std::string& line, std::string_view value)
    {
        line += '"';
        for (const char character : value) {
            if (character == '"' || character == '\\')
                line += '\\';
            // A value must never be able to start a line of its own.
            line += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
        }
        line += '"';
    }

    std::function<void(std::string_view)>& logSink()
    {
        static std::function<void(std::string_view)> sink;
        return sink;
    }

} // namespace internal

Event::Event(std::string_view name)
    : m_line("event=")
{
    m_line += name;
}

Event& Event::with(std::string_view key, std::string_view value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    if (internal::needsQuotes(value))
        internal::appendQuoted(m_line, value);
    else
        m_line += value;
    return *this;
}

Event& Event::with(std::string_view key, long long value) { return with(key, std::string_view(std::to_string(value))); }

Event& Event::with(std::string_view key, ResultCode code) { return with(key, entryOf(code).name); }

void startLog(const char* program)
{
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = false;
    google::InitGoogleLogging(program);
}

void reportCrashes()
{
    google::InstallFailureSignalHandler();
    // For the library a termination on request is a failure, too.
    std::signal(SIGTERM, SIG_DFL);
}

void log(const Event& event) { logLine(event.line()); }

void redirectLog(std::function<void(std::string_view)> sink) { internal::logSink() = std::move(sink); }

void logLine(std::string_view line)
{
    if (const auto& sink = internal::logSink())
        return sink(line);
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    LOG(INFO) << "time_ms=" << milliseconds << ' ' << line;
}

} // namespace lacewingsail
