#pragma once

#include "BookingBatch.h"

#include <lacewingsail/Observe.h>
#include <lacewingsail/Platform.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lacewingsail {

/// \brief Reads from and appends to one stream of bookings, each on its own thread.
class BookingShard {
public:
    /// \brief Callbacks, called on the threads of the shard.
    struct Handlers {
        /// Batches in log order. Empty if the log answered and had no new records.
        std::function<void(std::vector<BookingBatch>)> read;
        std::function<void()> readFailed;
        std::function<void(bool acknowledged)> appended;
    };

    BookingShard(std::string stream, std::unique_ptr<LogService> reader, std::unique_ptr<LogService> writer, Journal&, Handlers);

    /// \brief Interrupts the read and the append in progress.
    ~BookingShard();
    BookingShard(const BookingShard&) = delete;
    BookingShard& operator=(const BookingShard&) = delete;

    /// \brief Starts to append a batch. Handlers::appended reports the result, and must have been called before the next
    /// append.
    void append(const BookingBatch&);

private:
    void runReader();
    void runWriter();
    std::vector<BookingBatch> parse(const LogPage&);

    const std::string m_stream;
    const std::unique_ptr<LogService> m_reader;
    const std::unique_ptr<LogService> m_writer;
    Journal& m_journal;
    const Handlers m_handlers;
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<std::string> m_pendingRecord;
    std::thread m_readerThread;
    std::thread m_writerThread;
};

} // namespace lacewingsail
