#include <lacewingsail/Observe.h>

#include <oneapi/tbb/concurrent_queue.h>

#include <algorithm>
#include <atomic>
#include <cassert>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds journalWriteInterval { 20 };

} // namespace internal

struct Journal::Implementation {
    explicit Implementation(std::size_t journalCapacity)
        : capacity(journalCapacity)
        , writer([this] { write(); })
    {
    }

    // Called with the mutex held.
    void takePending()
    {
        std::string line;
        while (pending.try_pop(line)) {
            waiting.fetch_sub(1, std::memory_order_relaxed);
            logLine(line);
            if (kept.size() == capacity)
                kept.pop_front();
            kept.push_back(std::move(line));
            ++recorded;
        }
    }

    void write()
    {
        std::unique_lock lock(mutex);
        while (!stopping) {
            takePending();
            stopRequested.wait_for(lock, internal::journalWriteInterval, [this] { return stopping; });
        }
        takePending();
    }

    const std::size_t capacity;
    tbb::concurrent_queue<std::string> pending;
    std::atomic<std::size_t> waiting { 0 };
    std::atomic<std::uint64_t> dropped { 0 };
    std::mutex mutex;
    std::condition_variable stopRequested;
    bool stopping = false;
    std::deque<std::string> kept;
    std::uint64_t recorded = 0;
    std::thread writer;
};

Journal::Journal(std::size_t capacity)
    : m_implementation(std::make_unique<Implementation>(capacity))
{
    assert(capacity > 0);
}

Journal::~Journal()
{
    {
        const std::lock_guard lock(m_implementation->mutex);
        m_implementation->stopping = true;
    }
    m_implementation->stopRequested.notify_all();
    m_implementation->writer.join();
}

void Journal::record(const Event& event)
{
    // The bound may be passed by as many events as there are threads, which does no harm.
    if (m_implementation->waiting.load(std::memory_order_relaxed) >= m_implementation->capacity) {
        m_implementation->dropped.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    m_implementation->waiting.fetch_add(1, std::memory_order_relaxed);
    m_implementation->pending.push(event.line());
}

std::vector<std::string> Journal::linesWith(std::string_view part) const
{
    std::uint64_t position = 0;
    return linesWith(part, position);
}

std::vector<std::string> Journal::linesWith(std::string_view part, std::uint64_t& position) const
{
    const std::lock_guard lock(m_implementation->mutex);
    m_implementation->takePending();
    const auto& kept = m_implementation->kept;
    const std::uint64_t first = m_implementation->recorded - kept.size();
    std::vector<std::string> result;
    for (std::uint64_t index = std::max(first, position); index < m_implementation->recorded; ++index) {
        const std::string& line = kept[index - first];
        if (line.find(part) != std::string::npos)
            result.push_back(line);
    }
    position = m_implementation->recorded;
    return result;
}

std::uint64_t Journal::dropped() const { return m_implementation->dropped.load(std::memory_order_relaxed); }

} // namespace lacewingsail
