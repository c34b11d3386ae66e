#include <lacewingsail/Bookings.h>

#include <cassert>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds longPoll { 1000 };
    constexpr std::chrono::milliseconds noWait { 0 };
    constexpr std::chrono::milliseconds pauseAfterReadError { 100 };

} // namespace internal

BookingShard::BookingShard(std::string stream, std::unique_ptr<LogService> reader, std::unique_ptr<LogService> writer, Journal& journal, Handlers handlers)
    : m_stream(std::move(stream))
    , m_reader(std::move(reader))
    , m_writer(std::move(writer))
    , m_journal(journal)
    , m_handlers(std::move(handlers))
    , m_readerThread([this] { runReader(); })
    , m_writerThread([this] { runWriter(); })
{
}

BookingShard::~BookingShard()
{
    m_stopping = true;
    m_reader->interrupt();
    m_writer->interrupt();
    {
        const std::lock_guard lock(m_mutex);
        m_changed.notify_all();
    }
    m_readerThread.join();
    m_writerThread.join();
}

void BookingShard::append(const BookingBatch& batch)
{
    const std::lock_guard lock(m_mutex);
    assert(!m_pendingRecord);
    m_pendingRecord = formatBookingBatch(batch);
    m_changed.notify_all();
}

void BookingShard::runReader()
{
    LogOffset position {};
    // The first response, also after an error, shows that the log is available. That read must not wait for a record.
    bool readSucceeded = false;
    while (!m_stopping) {
        std::error_code error;
        const LogPage page = m_reader->read(m_stream, position, readSucceeded ? internal::longPoll : internal::noWait, error);
        readSucceeded = !error;
        if (error) {
            m_handlers.readFailed();
            std::this_thread::sleep_for(internal::pauseAfterReadError);
            continue;
        }
        if (position != LogOffset {} && page.earliest > position)
            m_journal.record(Event("bookings-expired-unread").with("stream", m_stream).with("position", static_cast<long long>(position)).with("earliest", static_cast<long long>(page.earliest)));
        m_handlers.read(parse(page));
        position = page.next;
    }
}

// Every host skips the same malformed records, so all hosts compute the same fold.
std::vector<BookingBatch> BookingShard::parse(const LogPage& page)
{
    std::vector<BookingBatch> batches;
    for (const LogRecord& record : page.records) {
        std::string problem;
        if (auto batch = parseBookingBatch(record.body, problem))
            batches.push_back(std::move(*batch));
        else
            m_journal.record(Event("booking-record-malformed").with("stream", m_stream).with("offset", static_cast<long long>(record.offset)).with("reason", problem));
    }
    return batches;
}

void BookingShard::runWriter()
{
    for (;;) {
        std::string record;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [this] { return m_pendingRecord || m_stopping; });
            if (!m_pendingRecord)
                return;
            record = std::move(*m_pendingRecord);
            m_pendingRecord.reset();
        }
        std::error_code error;
        m_writer->append(m_stream, record, error);
        m_handlers.appended(!error);
    }
}

} // namespace lacewingsail
