#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace lacewingsail {

struct LogRecord {
    LogOffset offset {};
    std::string body;
};

/// \brief Records of a stream from an offset on.
struct LogPage {
    /// The oldest record that is still kept; greater than the offset asked for if some have expired.
    LogOffset earliest {};
    /// Where to read on.
    LogOffset next {};
    std::vector<LogRecord> records;
};

/// \brief The platform's append-only log. Blocks; only interrupt() may be called from another thread.
class LogService {
public:
    virtual ~LogService() = default;

    /// \brief Appends one record. \param error set if there is no answer; the record may have been taken all
    /// the same, so read on to find out, and never append it again blindly.
    virtual LogOffset append(std::string_view stream, std::string_view body, std::error_code& error) = 0;

    /// \brief Reads from \p from on, waiting up to \p wait for a first record.
    virtual LogPage read(std::string_view stream, LogOffset from, std::chrono::milliseconds wait, std::error_code& error) = 0;

    /// \brief Breaks off the call under way and lets every later one fail at once.
    virtual void interrupt() { }
};

} // namespace lacewingsail
